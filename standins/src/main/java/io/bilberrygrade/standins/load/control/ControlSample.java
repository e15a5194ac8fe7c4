package io.bilberrygrade.standins.load.control;

import java.util.Map;

/**
 * What one run measured, per daemon: processor milliseconds a second, live heap, control messages
 * and bytes a second by step, and for the fleet the calls of the configuration service a second and
 * the seconds until a changed class target was in force on every daemon.
 */
record ControlSample(
        int daemons,
        int endpoints,
        int teams,
        double seconds,
        double processorMillisPerSecond,
        double heapMegabytes,
        Map<String, Double> messagesPerSecond,
        Map<String, Double> sentBytesPerSecond,
        Map<String, Double> receivedBytesPerSecond,
        double configCallsPerSecond,
        double secondsInForce,
        double bytesPerChange) {
    /** Returns the sum of a figure over the steps. */
    static double total(Map<String, Double> bySteps) {
        return bySteps.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
