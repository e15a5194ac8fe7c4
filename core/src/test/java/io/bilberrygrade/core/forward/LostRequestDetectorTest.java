package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.LostRequestDetector.EndpointActivity;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class LostRequestDetectorTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant NOW = T0.plusSeconds(1);
    private static final Duration PATIENCE = Duration.ofSeconds(1);

    private static boolean isLost(EndpointActivity activity) {
        return LostRequestDetector.isLost(T0, PATIENCE, activity, NOW);
    }

    @Test
    void requestAtBusyEndpointIsNotLost() {
        EndpointActivity activity =
                EndpointActivity.NOTHING.withFirstByte(T0.minusMillis(500), T0.plusMillis(900));
        assertThat(isLost(activity)).isFalse();
        assertThat(isLost(activity.withData(NOW))).isFalse();
    }

    @Test
    void requestOvertakenByLaterOneIsLost() {
        EndpointActivity activity =
                EndpointActivity.NOTHING.withFirstByte(T0.plusMillis(100), T0.plusMillis(900));
        assertThat(isLost(activity)).isTrue();
        assertThat(isLost(activity.withFirstByte(T0.minusMillis(100), NOW))).isTrue();
    }

    @Test
    void requestAtSilentEndpointIsLost() {
        assertThat(isLost(EndpointActivity.NOTHING)).isTrue();
        assertThat(isLost(EndpointActivity.NOTHING.withData(T0.minusMillis(1)))).isTrue();
    }
}
