package io.bilberrygrade.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefillRateTest {
    @ParameterizedTest
    @CsvSource({"4000", "40000", "400000"})
    void convergesWithinTwentyPrompts(double actual) {
        PrefillRate rate = PrefillRate.prior(PrefillRate.DEFAULT_TOKENS_PER_SECOND);
        for (int i = 0; i < 20; i++) {
            rate = rate.observe(8_192, Duration.ofNanos((long) (8_192 / actual * 1e9)));
        }
        assertThat(rate.tokensPerSecond()).isCloseTo(actual, within(actual * 0.1));
        assertThat(rate.observations()).isEqualTo(20);
    }

    @ParameterizedTest
    @CsvSource({"511, 100", "8192, 0"})
    void ignoresUninformativeObservations(long tokens, long millis) {
        PrefillRate rate = PrefillRate.prior(40_000);
        assertThat(rate.observe(tokens, Duration.ofMillis(millis))).isEqualTo(rate);
    }

    @Test
    void singleOutlierHasLittleEffect() {
        PrefillRate rate = PrefillRate.prior(40_000).observe(8_192, Duration.ofMinutes(10));
        assertThat(rate.tokensPerSecond()).isBetween(25_000.0, 40_000.0);
    }
}
