package io.bilberrygrade.standins.load.pattern;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FirstEventDelayTest {
    /** Guards against figures that blame the wrong cause for late requests. */
    @ParameterizedTest
    @CsvSource({
        "300, 90, 0, 400, SLOT",
        "10, 200, 30, 400, LONG_PREFILL",
        "10, 30, 200, 400, SHORT_PREFILL",
        "100, 30, 30, 400, PASSES"
    })
    void largestShareOfTheDelayIsTheCause(
            double slotMillis,
            double longMillis,
            double shortMillis,
            double delay,
            LateCause cause) {
        FirstEventDelay first = new FirstEventDelay();
        first.onAdmitted(slotMillis, 1_000, 500);
        first.onFirstEvent(1_000 + longMillis, 500 + shortMillis);
        assertThat(first.cause(delay)).isEqualTo(cause);
    }
}
