package io.bilberrygrade.core.room;

/**
 * Capacity that an instance's settings state.
 *
 * @param processorMillis processor time that it may use, in thousandths of a core
 * @param linkMbps rate of its network link in Mbit/s; 0 if not stated
 */
public record Capacity(long processorMillis, long linkMbps) {
    /** Factor between the capacities of one class, and beyond which a fleet is uneven. */
    public static final int CLASS_FACTOR = 3;

    /** Creates a capacity; the processor time must be positive. */
    public Capacity {
        if (processorMillis <= 0 || linkMbps < 0) {
            throw new IllegalArgumentException("not a capacity: " + processorMillis);
        }
    }

    /**
     * Returns the class of the processor time, higher for more. It depends on nothing but this
     * capacity, so that all instances order a fleet in the same way.
     */
    int processorClass() {
        int result = 1;
        for (long rest = processorMillis; rest >= CLASS_FACTOR; rest /= CLASS_FACTOR) {
            result++;
        }
        return result;
    }
}
