package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ServiceLoadTest {
    // Guards against a number of slots whose queue is computed with overflow.
    @ParameterizedTest
    @CsvSource({
        "8, 20, 12, 0.5",
        "1000000000, 2000000000, 1000000000, 0.3333",
        "2147483647, 5, 0, 0",
        "0, 2147483647, 2147483647, 715827882.3333",
        "5, -2147483648, 0, 0"
    })
    void queueIsTheRequestsBeyondTheSlots(int slots, int calls, int queued, double fraction) {
        ServiceLoad load = new ServiceLoad(slots, calls, 0, 1_000, 0, Duration.ZERO, 1);
        assertThat(load.queued()).isEqualTo(queued);
        assertThat(load.queueFraction()).isCloseTo(fraction, within(0.001));
    }
}
