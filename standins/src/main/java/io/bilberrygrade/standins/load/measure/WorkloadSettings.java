package io.bilberrygrade.standins.load.measure;

import java.time.Duration;

/**
 * Settings of a workload.
 *
 * @param load offered prompt tokens per second as a fraction of {@code capacity}
 * @param capacity prompt tokens per second that all engines together prefill
 */
record WorkloadSettings(long seed, double load, Duration duration, double capacity) {}
