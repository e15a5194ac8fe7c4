package io.bilberrygrade.core.report;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Slowdown of short prompts by long ones. The baseline is the exponentially weighted mean time to
 * first token of short prompts that met no long one on this daemon; the slowdown of a short prompt
 * that met one is its time over that baseline.
 */
public final class SlowdownBaseline {
    private static final double WEIGHT = 1.0 / 32;
    private static final int MIN_SAMPLES = 8;

    private double mBaselineNanos;
    private int mSamples;

    /** Takes in a short prompt that met no long one. */
    public void recordAlone(Duration timeToFirstToken) {
        double nanos = timeToFirstToken.toNanos();
        double weight = Math.max(WEIGHT, 1.0 / (mSamples + 1));
        mBaselineNanos += weight * (nanos - mBaselineNanos);
        mSamples++;
    }

    /** Returns the slowdown of a short prompt that met a long one, once there is a baseline. */
    public OptionalDouble slowdown(Duration timeToFirstToken) {
        if (mSamples < MIN_SAMPLES || mBaselineNanos <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(timeToFirstToken.toNanos() / mBaselineNanos);
    }
}
