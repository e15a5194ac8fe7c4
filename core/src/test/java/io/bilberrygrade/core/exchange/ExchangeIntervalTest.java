package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.room.Capacity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ExchangeIntervalTest {
    @ParameterizedTest
    @CsvSource({
        "1, false, 80",
        "26, false, 80",
        "27, false, 81",
        "38, false, 114",
        "410, false, 1230",
        "4, true, 320",
        "38, true, 400",
        "200, true, 600"
    })
    void intervalGrowsWithFleetAndWhileNothingChanges(int fleet, boolean quiet, long millis) {
        assertThat(ExchangeInterval.nextInterval(fleet, quiet).toMillis()).isEqualTo(millis);
    }

    @ParameterizedTest
    @CsvSource({
        "36, 1000, 1000, 80",
        "134, 1000, 1000, 134",
        "134, 999, 1000, 402",
        "134, 4000, 14, 402",
        "134, 4000, 0, 402",
        "300, 1000, 1000, 300",
        "355, 1000, 1000, 765",
        "410, 4000, 1000, 1230",
        "600, 4000, 1000, 1800"
    })
    void intervalIsShorterWithLargeAggregatorOfUpToThreeHundred(
            int fleet, long processorMillis, long linkMbps, long millis) {
        Capacity aggregator = new Capacity(processorMillis, linkMbps);
        assertThat(ExchangeInterval.nextInterval(fleet, false, aggregator).toMillis())
                .isEqualTo(millis);
    }
}
