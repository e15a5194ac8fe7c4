package io.bilberrygrade.standins.configservice;

import io.bilberrygrade.standins.control.Faults;

/**
 * Fault switches of the configuration service. {@code staleVersion} above 0 limits answers to that
 * version; later versions are published but not visible.
 */
public record ConfigFaults(
        boolean dieNow, long freezeMillis, long slowMillis, boolean down, long staleVersion)
        implements Faults {
    /** Returns the switches of a healthy service. */
    public static ConfigFaults none() {
        return new ConfigFaults(false, 0, 0, false, 0);
    }
}
