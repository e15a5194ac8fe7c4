package io.bilberrygrade.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.request.Reason;
import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AdmissionPolicyTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final WorkClass REVIEW =
            new WorkClass(new WorkClassId("review"), Duration.ofSeconds(4), 0.35);
    private static final InferenceRequest REQUEST =
            new InferenceRequest(
                    new RequestId("r-1"),
                    new TeamId("crew"),
                    REVIEW,
                    new ModelId("m"),
                    new Prompt(10_000, 32, ImmutableLongArray.of()),
                    NOW,
                    NOW.plusSeconds(10),
                    1);

    @ParameterizedTest
    @CsvSource({
        // The target of 4 s is met.
        "3000, 2800, 1000, true, ADMITTED",
        // The queue alone would make the first token late.
        "3500, 3300, 1000, true, OVERLOADED",
        // The request's own work takes longer than the target, and the deadline of 10 s is met.
        "6000, 100, 1000, true, ADMITTED",
        // The deadline can't be met with the safety margin.
        "7500, 100, 1000, true, DEADLINE_UNREACHABLE",
        "1000, 100, 8000, true, DEADLINE_UNREACHABLE",
        // The class or the team is over its share.
        "100, 50, 1000, false, CLASS_OVER_SHARE"
    })
    void decidesByForecastAndShare(
            long firstMillis,
            long backlogMillis,
            long decodeMillis,
            boolean share,
            String expected) {
        Forecast forecast =
                new Forecast(
                        Duration.ofMillis(firstMillis),
                        Duration.ofMillis(backlogMillis),
                        Duration.ofMillis(decodeMillis));
        String decision =
                switch (AdmissionPolicy.decide(REQUEST, forecast, share, NOW)) {
                    case Admission.Admitted a -> "ADMITTED";
                    case Admission.Refused r -> r.reason().name();
                };
        assertThat(decision).isEqualTo(expected);
    }

    @Test
    void refusalReportsBacklogBeyondTarget() {
        Forecast forecast =
                new Forecast(Duration.ofMillis(5_200), Duration.ofSeconds(5), Duration.ZERO);
        assertThat(AdmissionPolicy.decide(REQUEST, forecast, true, NOW))
                .isInstanceOfSatisfying(
                        Admission.Refused.class,
                        r -> {
                            assertThat(r.reason()).isEqualTo(Reason.OVERLOADED);
                            assertThat(r.backlog()).isEqualTo(Duration.ofSeconds(2));
                        });
    }

    @Test
    void urgentWorkScalesForecast() {
        Forecast alone = new Forecast(Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ZERO);
        assertThat(alone.withUrgentLoad(0.5).timeToFirstToken()).isEqualTo(Duration.ofSeconds(4));
        assertThat(alone.withUrgentLoad(0)).isEqualTo(alone);
    }

    @ParameterizedTest
    @CsvSource({"0, 500, 750", "2000, 2000, 3000", "3600000, 60000, 90000"})
    void retryAfterIsTheWaitWithJitterWithinBounds(long waitMillis, long least, long most) {
        Duration first = RetryAfter.of(Duration.ofMillis(waitMillis), random(1));
        Duration second = RetryAfter.of(Duration.ofMillis(waitMillis), random(2));
        assertThat(first).isBetween(Duration.ofMillis(least), Duration.ofMillis(most));
        assertThat(second).isNotEqualTo(first);
    }

    @Test
    void ranksRequestsByWorthPerToken() {
        WorthRanking ranking = new WorthRanking();
        for (int worth = 1; worth <= 10; worth++) {
            ranking.recordArrival(worth, 100);
        }
        assertThat(ranking.isInTopFraction(10, 100, 0.3)).isTrue();
        assertThat(ranking.isInTopFraction(8, 100, 0.3)).isTrue();
        assertThat(ranking.isInTopFraction(7, 100, 0.3)).isFalse();
        assertThat(ranking.isInTopFraction(10, 1_000, 0.3)).isFalse();
        assertThat(ranking.isInTopFraction(1, 100, 1)).isTrue();
    }

    private static org.apache.commons.rng.UniformRandomProvider random(long seed) {
        return RandomSource.SPLIT_MIX_64.create(seed);
    }
}
