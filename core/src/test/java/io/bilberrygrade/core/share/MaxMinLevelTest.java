package io.bilberrygrade.core.share;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Instant;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MaxMinLevelTest {
    private static final Instant NOW = Instant.EPOCH;

    @ParameterizedTest
    @CsvSource({"10, 20, 30, 60, Infinity", "10, 20, 90, 60, 30", "40, 40, 40, 60, 20"})
    void level(double a, double b, double c, double supply, double level) {
        assertThat(MaxMinLevel.of(ImmutableList.of(c, a, b), supply)).isEqualTo(level);
    }

    @Test
    void burstOfOneTeamDoesNotReduceOthers() {
        ClassDemand demand = new ClassDemand();
        demand.recordArrival(new TeamId("quiet"), 1_000, NOW);
        demand.recordArrival(new TeamId("steady"), 2_000, NOW);
        demand.recordArrival(new TeamId("bursting"), 27_000, NOW);
        double granted = 0.2;
        assertThat(demand.fairFraction(new TeamId("quiet"), granted, NOW)).isEqualTo(1);
        assertThat(demand.fairFraction(new TeamId("steady"), granted, NOW)).isEqualTo(1);
        assertThat(demand.fairFraction(new TeamId("bursting"), granted, NOW))
                .isCloseTo(3_000.0 / 27_000, Offset.offset(1e-9));
    }

    @Test
    void limitsNoTeamWithoutOverload() {
        ClassDemand demand = new ClassDemand();
        demand.recordArrival(new TeamId("quiet"), 1_000, NOW);
        demand.recordArrival(new TeamId("bursting"), 27_000, NOW);
        assertThat(demand.fairFraction(new TeamId("bursting"), 1.1, NOW)).isEqualTo(1);
    }
}
