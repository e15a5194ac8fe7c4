package io.bilberrygrade.standins.instances;

import io.bilberrygrade.standins.control.Faults;

/**
 * Fault switches of the instance list; {@code lagMillis} is the delay until changes become visible.
 */
public record InstanceFaults(
        boolean dieNow, long freezeMillis, long slowMillis, boolean down, long lagMillis)
        implements Faults {
    /** Returns the switches of a healthy list with the given lag. */
    public static InstanceFaults none(long lagMillis) {
        return new InstanceFaults(false, 0, 0, false, lagMillis);
    }
}
