package io.bilberrygrade.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class RateLimitTest {
    @ParameterizedTest
    @CsvSource({"1, 1", "1.25, 1.25", "0.05, 0.05", "0, 0", "' 3.5 ', 3.5", "1e2, 100"})
    void parsesDecimalNumbers(String text, double perSecond) {
        assertThat(RateLimit.parse(text)).contains(new RateLimit(perSecond));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "NaN", "Infinity", "1e999", "two", "1/s", "1,5"})
    void rejectsOtherText(String text) {
        assertThat(RateLimit.parse(text)).isEmpty();
    }
}
