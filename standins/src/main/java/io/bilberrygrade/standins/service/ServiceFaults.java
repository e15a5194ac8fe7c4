package io.bilberrygrade.standins.service;

import io.bilberrygrade.standins.control.Faults;

/**
 * Fault switches of the plain service. {@code cutBeforeAnswer} runs calls but closes the connection
 * instead of answering; {@code dedupe} runs each idempotency key once; {@code refuseWith} is the
 * reason with which every call is refused, or empty.
 */
public record ServiceFaults(
        boolean dieNow,
        long freezeMillis,
        long slowMillis,
        boolean down,
        boolean cutBeforeAnswer,
        boolean dedupe,
        String refuseWith)
        implements Faults {
    /** Returns the switches of a healthy service. */
    public static ServiceFaults none() {
        return new ServiceFaults(false, 0, 0, false, false, false, "");
    }
}
