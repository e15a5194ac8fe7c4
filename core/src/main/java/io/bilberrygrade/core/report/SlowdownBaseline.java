package io.bilberrygrade.core.report;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Slowdown of short prompts by long ones. The baseline is the exponentially weighted mean time to
 * first token of short prompts that didn't overlap with a long one on this daemon; the slowdown of
 * a short prompt that did is its time divided by the baseline.
 */
public final class SlowdownBaseline {
    private static final double MIN_SAMPLE_WEIGHT = 1.0 / 32;
    private static final int MIN_SAMPLES = 8;

    private double mBaselineNanos;
    private int mSamples;

    /** Records a short prompt that didn't overlap with a long one. */
    public void recordWithoutOverlap(Duration timeToFirstToken) {
        double nanos = timeToFirstToken.toNanos();
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (mSamples + 1));
        mBaselineNanos += weight * (nanos - mBaselineNanos);
        mSamples++;
    }

    /**
     * Returns the slowdown of a short prompt that overlapped with a long one; empty until there is
     * a baseline.
     */
    public OptionalDouble slowdown(Duration timeToFirstToken) {
        if (mSamples < MIN_SAMPLES || mBaselineNanos <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(timeToFirstToken.toNanos() / mBaselineNanos);
    }
}
