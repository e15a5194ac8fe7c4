package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfirmationTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static ClockReading at(long millis) {
        return new ClockReading(T0.plusMillis(millis), T0.plusMillis(millis));
    }

    private static Confirmation confirmation(long version, long ageMillis) {
        return new Confirmation(version, new StorePosition(1, 20), Duration.ofMillis(ageMillis));
    }

    @ParameterizedTest
    @CsvSource({"6, 1000, false", "7, 1000, true", "8, 1000, false", "7, -1, false"})
    void confirmsSameVersionOnly(long version, long age, boolean confirms) {
        assertThat(confirmation(version, age).confirms(7, at(5_000)).isPresent())
                .isEqualTo(confirms);
    }

    @Test
    void subtractsAgeFromRequestTimeSinceReplyMayBeDelayed() {
        FreshnessLease lease = new FreshnessLease(Duration.ofSeconds(5));
        confirmation(7, 1_000).confirms(7, at(5_000)).ifPresent(lease::confirm);
        assertThat(lease.age(at(9_000))).contains(Duration.ofSeconds(5));
        assertThat(lease.isHeld(at(8_600))).isTrue();
        assertThat(lease.isHeld(at(8_800))).isFalse();
    }

    @Test
    void olderConfirmationDoesNotShortenLease() {
        FreshnessLease lease = new FreshnessLease(Duration.ofSeconds(5));
        lease.confirm(at(4_000));
        confirmation(7, 3_000).confirms(7, at(4_500)).ifPresent(lease::confirm);
        assertThat(lease.age(at(5_000))).contains(Duration.ofSeconds(1));
    }

    @Test
    void clockStepAfterRequestInvalidatesConfirmation() {
        FreshnessLease lease = new FreshnessLease(Duration.ofSeconds(5));
        confirmation(7, 100).confirms(7, at(1_000)).ifPresent(lease::confirm);
        assertThat(lease.isHeld(new ClockReading(T0.plusMillis(1_200), T0.plusMillis(4_200))))
                .isFalse();
    }
}
