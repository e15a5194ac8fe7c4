package io.bilberrygrade.standins.weights;

import io.bilberrygrade.standins.control.Faults;

/** Fault switches of the weight store; {@code rate} is the maximum of reads per second. */
public record WeightStoreFaults(
        boolean dieNow, long freezeMillis, long slowMillis, boolean down, int rate)
        implements Faults {
    /** Returns the switches of a healthy store. */
    public static WeightStoreFaults none(int rate) {
        return new WeightStoreFaults(false, 0, 0, false, rate);
    }
}
