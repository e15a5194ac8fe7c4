package io.bilberrygrade.serving.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.settings.Mechanism;
import java.util.Optional;
import net.jqwik.api.sessions.JqwikSession;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the oracle can fail: it must detect each disabled mechanism. */
final class DisabledMechanismTest {
    private static final int MAX_CHAINS = 300;
    private static final long SEED = 20_261_204;

    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE, ran 2 times",
        "KEY_GUARD, not-run",
        "VERSION_GUARD, went from version",
        "RESUME, token"
    })
    void detectsDisabledMechanism(Mechanism mechanism, String expected) {
        FuzzCampaign campaign = new FuzzCampaign(SEED, ImmutableSet.of(mechanism));
        Optional<FuzzCampaign.Finding> finding = Optional.empty();
        while (finding.isEmpty() && campaign.chains() < MAX_CHAINS) {
            finding = next(campaign);
        }

        assertThat(finding).map(FuzzCampaign.Finding::message).get().asString().contains(expected);
    }

    private static Optional<FuzzCampaign.Finding> next(FuzzCampaign campaign) {
        JqwikSession.start();
        try {
            return campaign.next();
        } finally {
            JqwikSession.finish();
        }
    }
}
