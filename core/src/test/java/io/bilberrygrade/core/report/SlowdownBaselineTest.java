package io.bilberrygrade.core.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks the slowdown of short prompts against their own baseline. */
final class SlowdownBaselineTest {
    private final SlowdownBaseline mBaseline = new SlowdownBaseline();

    @Test
    void comparesWithShortPromptsWithoutOverlap() {
        for (int i = 0; i < 8; i++) {
            mBaseline.recordWithoutOverlap(Duration.ofMillis(90 + 20 * (i % 2)));
        }

        assertThat(mBaseline.slowdown(Duration.ofMillis(300)).orElseThrow())
                .isCloseTo(3, within(0.01));
    }

    @Test
    void returnsEmptyWithoutEnoughSamples() {
        for (int i = 0; i < 7; i++) {
            mBaseline.recordWithoutOverlap(Duration.ofMillis(100));
        }

        assertThat(mBaseline.slowdown(Duration.ofMillis(300))).isEmpty();
    }

    @Test
    void adaptsBaselineToLastingChange() {
        for (int i = 0; i < 8; i++) {
            mBaseline.recordWithoutOverlap(Duration.ofMillis(100));
        }
        for (int i = 0; i < 300; i++) {
            mBaseline.recordWithoutOverlap(Duration.ofMillis(200));
        }

        assertThat(mBaseline.slowdown(Duration.ofMillis(200)).orElseThrow())
                .isCloseTo(1, within(0.01));
    }
}
