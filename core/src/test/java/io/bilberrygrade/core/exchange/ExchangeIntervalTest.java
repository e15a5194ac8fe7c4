package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

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
}
