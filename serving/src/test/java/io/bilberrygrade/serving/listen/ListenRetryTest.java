package io.bilberrygrade.serving.listen;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ListenRetryTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration PATIENCE = Duration.ofSeconds(8);

    private final ListenRetry mRetry = new ListenRetry(START.plus(PATIENCE));

    // Guards against a daemon that never gives up a port, or gives it up early.
    @ParameterizedTest
    @CsvSource({"0, true", "7900, true", "7901, false", "8000, false", "9000, false"})
    void heldAddressIsTriedAgainUntilTheEnd(long millis, boolean again) {
        assertThat(mRetry.delay(new BindException("held"), START.plusMillis(millis)).isPresent())
                .isEqualTo(again);
    }

    @Test
    void otherFailureIsFinal() {
        assertThat(mRetry.delay(new IOException("no socket"), START)).isEmpty();
    }
}
