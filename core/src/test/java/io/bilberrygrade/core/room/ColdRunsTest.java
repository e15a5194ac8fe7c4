package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdRunsTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointRun RUN = new EndpointRun(new EndpointId("e"), 1);
    private static final ColdTraits TRAITS =
            new ColdTraits(Duration.ofSeconds(3), 14, ImmutableList.of());

    private final ColdRuns mRuns = new ColdRuns();

    private boolean isColdAt(long millis, Optional<Instant> entryUntil, Optional<Duration> age) {
        return mRuns.isCold(RUN, TRAITS, entryUntil, age, T0.plusMillis(millis));
    }

    /** Warm by its entry and its age, so that only answers tell that it is cold. */
    private boolean isColdByAnswersAt(long millis) {
        return isColdAt(millis, Optional.of(T0), Optional.of(Duration.ofDays(1)));
    }

    /** Guards against full load on an endpoint that has just started; -1 is unknown. */
    @ParameterizedTest
    @CsvSource({
        "-1, -1, true",
        "-1, 2999, true",
        "-1, 3000, false",
        "-1, 90000, false",
        "0, 10, false",
        "1, 90000, true",
        "5000, 90000, true"
    })
    void entryDecidesAndAgeWithoutIt(long entryLeft, long age, boolean cold) {
        Optional<Instant> until = Optional.of(entryLeft).filter(l -> l >= 0).map(T0::plusMillis);
        assertThat(isColdAt(0, until, Optional.of(age).filter(a -> a >= 0).map(Duration::ofMillis)))
                .isEqualTo(cold);
    }

    @Test
    void answerTellsThatAnEndpointTurnedCold() {
        mRuns.recordAnswer(RUN, Duration.ofSeconds(3), T0, T0);
        assertThat(isColdByAnswersAt(2_999)).isTrue();
        assertThat(isColdByAnswersAt(3_000)).isFalse();
    }

    /** Guards against an answer from before the endpoint turned cold that arrives after. */
    @Test
    void answerToAnEarlierRequestDoesNotEndIt() {
        mRuns.recordAnswer(RUN, Duration.ofSeconds(3), T0, T0.plusMillis(100));
        mRuns.recordAnswer(RUN, Duration.ZERO, T0.plusMillis(50), T0.plusMillis(200));
        assertThat(isColdByAnswersAt(200)).isTrue();
        mRuns.merge(RUN, Duration.ofMillis(10), T0.plusMillis(200));
        assertThat(isColdByAnswersAt(1_000)).isTrue();
        mRuns.recordAnswer(RUN, Duration.ZERO, T0.plusMillis(100), T0.plusMillis(1_000));
        assertThat(isColdByAnswersAt(1_000)).isFalse();
    }

    /** Guards against statements that look later each time that they go round. */
    @Test
    void onlyOwnStatementsAreSharedWithTheAggregator() {
        mRuns.merge(RUN, Duration.ofSeconds(9), T0);
        assertThat(mRuns.left(true, T0)).isEmpty();
        assertThat(mRuns.left(false, T0.plusSeconds(2))).containsEntry(RUN, Duration.ofSeconds(7));
        assertThat(mRuns.left(false, T0.plusSeconds(9))).isEmpty();
    }

    @Test
    void statementsAreBounded() {
        for (int i = 0; i < 2 * ColdRuns.MAX_RUNS; i++) {
            mRuns.merge(new EndpointRun(new EndpointId("e" + i), 1), Duration.ofSeconds(9), T0);
        }
        assertThat(mRuns.left(false, T0)).hasSize(ColdRuns.MAX_RUNS);
    }
}
