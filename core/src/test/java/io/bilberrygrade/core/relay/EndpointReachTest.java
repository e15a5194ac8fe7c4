package io.bilberrygrade.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a daemon that refuses all its callers while it is cut off from the endpoints and
 * its peers aren't, and against one that takes other faults for such a cut.
 */
final class EndpointReachTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final int REGISTERED = 19;

    private final EndpointReach mReach = new EndpointReach();

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }

    private static EndpointId endpoint(int number) {
        return new EndpointId("e" + number);
    }

    private boolean fail(int endpoint, long millis) {
        return mReach.recordUnreachable(endpoint(endpoint), REGISTERED, at(millis));
    }

    private void cut() {
        for (int i = 0; i < 3; i++) {
            fail(i, i);
        }
        assertThat(mReach.cutSince()).contains(START);
    }

    @Test
    void unreachableEndpointsInSequenceShowCut() {
        assertThat(fail(0, 0)).isFalse();
        assertThat(fail(1, 400)).isFalse();
        assertThat(fail(2, 800)).isTrue();
        assertThat(fail(3, 900)).isFalse();
        assertThat(mReach.cutSince()).contains(START);
    }

    @Test
    void oneEndpointThatFailsAgainAndAgainShowsNoCut() {
        for (int i = 0; i < 50; i++) {
            assertThat(fail(0, 20L * i)).isFalse();
        }
    }

    @Test
    void answerInBetweenShowsThatEndpointsAreReached() {
        for (int i = 0; i < 12; i++) {
            assertThat(fail(i, 100L * i)).isFalse();
            if (i % 2 == 1) {
                mReach.recordAnswer(at(100L * i));
            }
        }
    }

    @Test
    void failuresThatAreFarApartShowNoCut() {
        for (int i = 0; i < 12; i++) {
            assertThat(fail(i, 1_600L * i)).isFalse();
        }
    }

    @Test
    void answerOnOldConnectionDoesNotHideCut() {
        fail(0, 0);
        fail(1, 10);
        mReach.recordAnswer(START.minus(Duration.ofMillis(1)));
        assertThat(fail(2, 20)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 1", "2, 2", "3, 3", "600, 3"})
    void fewEndpointsSuffice(int registered, int failures) {
        for (int i = 1; i <= failures; i++) {
            assertThat(mReach.recordUnreachable(endpoint(i), registered, START))
                    .isEqualTo(i == failures);
        }
    }

    @Test
    void twoAcceptedTrialsInSequenceEndCut() {
        cut();
        assertThat(mReach.recordTrial(endpoint(5), true, REGISTERED)).isFalse();
        assertThat(mReach.recordTrial(endpoint(6), false, REGISTERED)).isFalse();
        assertThat(mReach.recordTrial(endpoint(7), true, REGISTERED)).isFalse();
        assertThat(mReach.recordTrial(endpoint(7), true, REGISTERED)).isFalse();
        assertThat(mReach.recordTrial(endpoint(8), true, REGISTERED)).isTrue();
        assertThat(mReach.cutSince()).isEmpty();
        assertThat(mReach.unreachableCount()).isZero();
    }

    @Test
    void answerOnOldConnectionDoesNotEndCut() {
        cut();
        mReach.recordAnswer(at(5_000));
        assertThat(mReach.cutSince()).isPresent();
    }

    // A cut that comes and goes each second is noticed each time.
    @Test
    void cutThatReturnsIsNoticedAgain() {
        for (int round = 0; round < 5; round++) {
            long millis = 1_000L * round;
            fail(0, millis);
            fail(1, millis + 5);
            assertThat(fail(2, millis + 10)).isTrue();
            mReach.recordTrial(endpoint(3), true, REGISTERED);
            assertThat(mReach.recordTrial(endpoint(4), true, REGISTERED)).isTrue();
        }
    }
}
