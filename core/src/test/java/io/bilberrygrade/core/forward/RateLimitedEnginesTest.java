package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RateLimitedEnginesTest {
    private static final EngineCost COST =
            new EngineCost(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048);
    private static final Candidate LIMITED = candidate("a", true);
    private static final Candidate ALSO_LIMITED = candidate("b", true);
    private static final Candidate UNLIMITED = candidate("c", false);
    private static final ImmutableList<Candidate> MIXED = ImmutableList.of(LIMITED, UNLIMITED);

    private static Candidate candidate(String id, boolean rateLimited) {
        RegisteredEndpoint engine =
                new RegisteredEndpoint(
                        new EndpointId(id),
                        1,
                        new ServiceId("s"),
                        new Address("10.0.0.1", 1),
                        new DataCentreId("z"),
                        11,
                        false);
        return new Candidate(engine, EndpointWork.NONE, rateLimited);
    }

    private static ImmutableList<Candidate> usable(
            long promptTokens, int gapMillis, ImmutableList<Candidate> candidates) {
        StreamNeed need =
                StreamNeed.of(
                        new PromptShape(promptTokens, 100),
                        Duration.ofSeconds(3),
                        Optional.of(Duration.ofMillis(gapMillis)));
        return RateLimitedEngines.usable(need, COST, candidates);
    }

    @Test
    void strictStreamMayUseLimitedEngine() {
        assertThat(usable(5_000, 200, MIXED)).isEqualTo(MIXED);
    }

    @Test
    void partsOfLongPromptMayUseLimitedEngine() {
        assertThat(usable(210_000, 800, MIXED)).isEqualTo(MIXED);
    }

    @Test
    void promptThatReservesMemoryUsesEnginesWithoutLimit() {
        assertThat(usable(600_000, 800, MIXED)).containsExactly(UNLIMITED);
    }

    @Test
    void promptThatReservesMemoryIsNotSplitOverLimitedEngines() {
        assertThat(usable(600_000, 800, ImmutableList.of(LIMITED, ALSO_LIMITED)))
                .containsExactly(LIMITED);
    }
}
