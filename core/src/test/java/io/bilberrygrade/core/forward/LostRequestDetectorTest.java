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

    private static boolean lost(EndpointActivity heard) {
        return LostRequestDetector.lost(T0, PATIENCE, heard, NOW);
    }

    @Test
    void requestAtBusyEndpointIsNotLost() {
        EndpointActivity heard =
                EndpointActivity.NOTHING.first(T0.minusMillis(500), T0.plusMillis(900));
        assertThat(lost(heard)).isFalse();
        assertThat(lost(heard.bytes(NOW))).isFalse();
    }

    @Test
    void requestOvertakenByLaterOneIsLost() {
        EndpointActivity heard =
                EndpointActivity.NOTHING.first(T0.plusMillis(100), T0.plusMillis(900));
        assertThat(lost(heard)).isTrue();
        assertThat(lost(heard.first(T0.minusMillis(100), NOW))).isTrue();
    }

    @Test
    void requestAtSilentEndpointIsLost() {
        assertThat(lost(EndpointActivity.NOTHING)).isTrue();
        assertThat(lost(EndpointActivity.NOTHING.bytes(T0.minusMillis(1)))).isTrue();
    }
}
