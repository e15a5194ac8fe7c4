package io.bilberrygrade.standins.instances;

import io.bilberrygrade.standins.control.Faults;

/** Fault switches of the instance list; {@code lagMillis} is how late changes show. */
public record InstanceFaults(
        boolean dieNow, long freezeMillis, long slowMillis, boolean down, long lagMillis)
        implements Faults {
    /** Returns the switches of a healthy list that lags as given. */
    public static InstanceFaults none(long lagMillis) {
        return new InstanceFaults(false, 0, 0, false, lagMillis);
    }
}
