package io.bilberrygrade.standins.instances;

import io.bilberrygrade.standins.control.Faults;

/**
 * Fault switches of the instance list; {@code lagMillis} is the delay until changes become visible.
 */
public record InstanceListFaults(
        boolean dieNow, long freezeMillis, long slowMillis, boolean down, long lagMillis)
        implements Faults {
    /** Returns the switches of a healthy list with the given lag. */
    public static InstanceListFaults none(long lagMillis) {
        return new InstanceListFaults(false, 0, 0, false, lagMillis);
    }
}
