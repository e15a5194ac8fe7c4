package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

final class FleetPeakTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    private final FleetPeak mPeak = new FleetPeak();

    @Test
    void isOneBeforeAnyObservation() {
        assertThat(mPeak.size(NOW)).isEqualTo(1);
    }

    @Test
    void growsAtOnce() {
        mPeak.observe(4, NOW);
        mPeak.observe(45, NOW.plusMillis(80));
        assertThat(mPeak.size(NOW.plusMillis(80))).isEqualTo(45);
    }

    @Test
    void daemonsOutOfReachStillCountForSomeTime() {
        mPeak.observe(45, NOW);
        Instant end = NOW.plus(FleetPeak.HOLD_TIME);
        mPeak.observe(20, end);
        assertThat(mPeak.size(end)).isEqualTo(45);
    }

    @Test
    void shrinksToTheLargestSizeOfTheHoldTime() {
        mPeak.observe(45, NOW);
        mPeak.observe(20, NOW.plusSeconds(10));
        mPeak.observe(30, NOW.plusSeconds(20));
        Instant later = NOW.plus(FleetPeak.HOLD_TIME).plusSeconds(1);
        mPeak.observe(10, later);
        assertThat(mPeak.size(later)).isEqualTo(30);
    }
}
