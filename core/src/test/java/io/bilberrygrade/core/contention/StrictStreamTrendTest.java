package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StrictStreamTrendTest {
    private static StrictStreamTrend trend(int earlier, int latest, long intervalMillis) {
        return StrictStreamTrend.first(earlier, 0, Instant.EPOCH)
                .next(latest, 0, Instant.EPOCH.plusMillis(intervalMillis));
    }

    /** Guards against a number of engines that changes with every sum at a constant demand. */
    @ParameterizedTest
    @CsvSource({"32, 38, 0", "32, 27, 0", "240, 255, 0", "32, 72, 0.1", "240, 160, -0.2"})
    void changeWithinItsSamplingErrorIsNoGrowth(int earlier, int latest, double growthPerMilli) {
        assertThat(trend(earlier, latest, 400).growthPerMilli()).isEqualTo(growthPerMilli);
    }

    /** Guards against a swing whose arrivals are counted only once they run. */
    @Test
    void growthCountsAsUnseenArrivals() {
        StrictStreamTrend swing = trend(32, 72, 400);
        Instant now = swing.receivedAt().plusMillis(200);
        assertThat(swing.age(now)).isEqualTo(Duration.ofMillis(400));
        assertThat(swing.unseenArrivals(now)).isCloseTo((0.036 + 0.1) * 800, within(1e-6));
        assertThat(swing.growthWhileOneRuns()).isCloseTo(200, within(1e-6));
    }

    /** Guards against streams on all engines in the gap between two long prompts. */
    @Test
    void prefillOfLongPromptsIsRememberedForSomeTime() {
        StrictStreamTrend gap =
                StrictStreamTrend.first(9, 20, Instant.EPOCH)
                        .next(9, 0, Instant.EPOCH.plusMillis(400));
        assertThat(gap.prefilling()).isCloseTo(16, within(1e-6));
        StrictStreamTrend later = gap.next(9, 1, gap.receivedAt().plusMillis(2_000));
        assertThat(later.prefilling()).isEqualTo(1);
    }

    /** Guards against a negative demand while streams of the last phase end. */
    @Test
    void fallingNumberMeansNoArrivals() {
        StrictStreamTrend fall = trend(240, 100, 400);
        assertThat(fall.unseenArrivals(fall.receivedAt())).isZero();
        assertThat(fall.growthWhileOneRuns()).isZero();
    }

    /** Guards against rates that divide by no time or span an outage of the exchange. */
    @ParameterizedTest
    @CsvSource({"80, false", "149, false", "150, true", "402, true", "0, false", "2001, false"})
    void sumsAreOldFromAnIntervalOn(long intervalMillis, boolean old) {
        assertThat(trend(1, 200, intervalMillis).isOld()).isEqualTo(old);
    }
}
