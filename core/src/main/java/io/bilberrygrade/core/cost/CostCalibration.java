package io.bilberrygrade.core.cost;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts by decile of the predicted distribution into which the observed times fall. Equal counts
 * mean that predictions are right; many in the last decile, that they are too low. May be read from
 * any thread.
 */
public final class CostCalibration {
    private final AtomicLongArray mCounts = new AtomicLongArray(CostDistribution.DECILES);

    /** Counts an observed time. */
    public void record(CostDistribution predicted, double millis) {
        mCounts.incrementAndGet(predicted.decile(millis));
    }

    /** Returns the number of observed times in a decile from 0 to 9. */
    public long count(int decile) {
        return mCounts.get(decile);
    }
}
