package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import io.bilberrygrade.core.admission.RetryBudget;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import io.bilberrygrade.serving.settings.PeerKey;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the daemons' parts of a service's retries never exceed the whole. */
final class RetryBudgetsTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final int SLACK = 232;
    private static final Address ADDRESS = new Address("10.0.0.1", 1);

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(3);

    private int retries(Member member) {
        RetryBudgets budgets =
                new RetryBudgets(
                        settings(),
                        () -> member.mFleet.size(mFleet.now()),
                        () -> member.mFleet.peakSize(mFleet.now()));
        RetryBudget budget = budgets.of(new ServiceId("s"));
        int retries = 0;
        while (budget.tryRetry(mFleet.now())) {
            retries++;
        }
        return retries;
    }

    private static ForwardSettings settings() {
        return new ForwardSettings(
                new InstanceId("i"),
                new DataCentreId("z"),
                ADDRESS,
                ADDRESS,
                ADDRESS,
                ImmutableList.of(),
                PeerKey.of(new byte[] {1}),
                ADDRESS,
                Duration.ofSeconds(2),
                Duration.ofSeconds(4),
                0.2,
                Duration.ofSeconds(10),
                SLACK);
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 4", "45, 1", "45, 2", "45, 3", "45, 5", "45, 45", "410, 1", "410, 4"})
    void partsOfFleetShareTheSlackOfRetries(int members, int parts) {
        mFleet.add(members);
        mFleet.mTime.advance(SETTLE_TIME);
        for (List<Member> group : Lists.partition(mFleet.mMembers, (members + parts - 1) / parts)) {
            List<Member> others = new ArrayList<>(mFleet.mMembers);
            others.removeAll(group);
            mFleet.cut(group, others);
        }
        mFleet.mTime.advance(SETTLE_TIME);
        assertThat(mFleet.mMembers.stream().mapToInt(this::retries).sum())
                .isLessThanOrEqualTo(SLACK);
    }
}
