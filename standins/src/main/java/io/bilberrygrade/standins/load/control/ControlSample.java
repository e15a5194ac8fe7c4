package io.bilberrygrade.standins.load.control;

import java.util.Map;

/**
 * Measurements of one run. Per daemon: processor milliseconds per second, live heap, control
 * messages and bytes per second by step, and bytes received per configuration change. For the
 * fleet: calls of the configuration service per second, and the seconds until a changed class share
 * was in force on every daemon.
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
    static double total(Map<String, Double> byStep) {
        return byStep.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
