package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an aggregator that keeps its role while it is slow, and against flapping. */
final class SlownessDetectorTest {
    private static final Duration INTERVAL = Duration.ofMillis(400);

    private final SlownessDetector mDetector = new SlownessDetector();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");

    /** Lets timers fire late for a time; returns how often the instance was judged slow anew. */
    private int run(Duration span, long lateMillis) {
        Instant end = mNow.plus(span);
        int changes = 0;
        boolean before = mDetector.isSlow(mNow);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(INTERVAL).plusMillis(lateMillis);
            mDetector.recordTimer(Duration.ofMillis(lateMillis), mNow);
            boolean slow = mDetector.isSlow(mNow);
            changes += slow && !before ? 1 : 0;
            before = slow;
        }
        return changes;
    }

    @ParameterizedTest
    @CsvSource({"0, false", "150, false", "200, true", "3000, true"})
    void lateTimersMakeAnInstanceSlow(long lateMillis, boolean expected) {
        run(Duration.ofSeconds(20), lateMillis);
        assertThat(mDetector.isSlow(mNow)).isEqualTo(expected);
    }

    @Test
    void singlePauseIsNoSlowness() {
        run(Duration.ofSeconds(20), 0);
        assertThat(run(Duration.ofSeconds(1), 6_000)).isZero();
        assertThat(run(Duration.ofSeconds(20), 0)).isZero();
    }

    @Test
    void onlyResponsesToTheAggregatorCount() {
        for (boolean aggregator : new boolean[] {false, true}) {
            mDetector.recordRole(aggregator, mNow);
            for (int i = 0; i < 40; i++) {
                mNow = mNow.plus(INTERVAL);
                mDetector.recordResponse(Duration.ofMillis(250), mNow);
            }
            assertThat(mDetector.isSlow(mNow)).isEqualTo(aggregator);
        }
    }

    @Test
    void oneSlowPeerIsNoSlownessOfTheLink() {
        mDetector.recordRole(true, mNow);
        for (int i = 0; i < 40; i++) {
            mNow = mNow.plus(INTERVAL);
            mDetector.recordResponse(Duration.ofMillis(i % 2 == 0 ? 300 : 20), mNow);
        }
        assertThat(mDetector.isSlow(mNow)).isFalse();
    }

    @Test
    void newAggregatorKeepsItsRoleForTheFirstSeconds() {
        mDetector.recordRole(true, mNow);
        run(Duration.ofSeconds(8), 250);
        assertThat(mDetector.isSlow(mNow)).isFalse();
        run(Duration.ofSeconds(4), 250);
        assertThat(mDetector.isSlow(mNow)).isTrue();
    }

    @Test
    void slowInstanceIsSoundAgainAfterThirtySecondsWithoutDelay() {
        run(Duration.ofSeconds(20), 300);
        run(Duration.ofSeconds(28), 0);
        assertThat(mDetector.isSlow(mNow)).isTrue();
        run(Duration.ofSeconds(10), 0);
        assertThat(mDetector.isSlow(mNow)).isFalse();
    }

    @Test
    void swingsOfTenSecondsChangeTheJudgementOnce() {
        int changes = 0;
        for (int i = 0; i < 30; i++) {
            changes += run(Duration.ofSeconds(5), 300);
            changes += run(Duration.ofSeconds(5), 0);
        }
        assertThat(changes).isEqualTo(1);
    }

    /** An instance that is slow only while it has the role would take and lose it again. */
    @Test
    void eachRelapseHoldsLonger() {
        int changes = 0;
        Instant end = mNow.plus(Duration.ofMinutes(60));
        while (mNow.isBefore(end)) {
            boolean role = !mDetector.isSlow(mNow);
            mDetector.recordRole(role, mNow);
            changes += run(Duration.ofSeconds(1), role ? 300 : 0);
        }
        assertThat(changes).isLessThanOrEqualTo(8);
        assertThat(mDetector.hold()).isEqualTo(SlownessDetector.MAX_HOLD);
    }
}
