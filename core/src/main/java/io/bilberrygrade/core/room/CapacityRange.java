package io.bilberrygrade.core.room;

/** Least and greatest processor time that instances state, in thousandths of a core. */
public record CapacityRange(long minMillis, long maxMillis) {
    /** Returns the smallest range that includes both. */
    CapacityRange union(CapacityRange other) {
        return new CapacityRange(
                Math.min(minMillis, other.minMillis), Math.max(maxMillis, other.maxMillis));
    }

    /** Returns whether the capacities differ by more than the factor of a class. */
    boolean isUneven() {
        return minMillis > 0 && maxMillis / (double) Capacity.CLASS_FACTOR > minMillis;
    }
}
