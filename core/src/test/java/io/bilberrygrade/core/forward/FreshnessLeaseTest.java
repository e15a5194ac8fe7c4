package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FreshnessLeaseTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final ClockReading SENT = new ClockReading(T0, T0);
    private final FreshnessLease mLease = new FreshnessLease(Duration.ofSeconds(5));

    private static ClockReading after(long steadyMillis, long wallMillis) {
        return new ClockReading(T0.plusMillis(steadyMillis), T0.plusMillis(wallMillis));
    }

    @Test
    void isNotHeldBeforeConfirmation() {
        assertThat(mLease.isHeld(SENT)).isFalse();
        assertThat(mLease.age(SENT)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0,true", "4600,true", "4800,false", "6000,false"})
    void expiresBeforeBoundMeasuredFromSendTime(long millis, boolean held) {
        mLease.confirm(SENT);
        assertThat(mLease.isHeld(after(millis, millis))).isEqualTo(held);
    }

    @ParameterizedTest
    @CsvSource({"1000,1200,true", "1000,4000,false", "3000,1000,false"})
    void isNotHeldWhenClocksDisagree(long steady, long wall, boolean held) {
        mLease.confirm(SENT);
        assertThat(mLease.isHeld(after(steady, wall))).isEqualTo(held);
        assertThat(mLease.age(after(steady, wall)).isPresent()).isEqualTo(held);
    }

    @Test
    void nextConfirmationRenewsLeaseAfterClockStep() {
        mLease.confirm(SENT);
        mLease.confirm(after(1_000, 4_000));
        assertThat(mLease.isHeld(after(2_000, 5_000))).isTrue();
    }
}
