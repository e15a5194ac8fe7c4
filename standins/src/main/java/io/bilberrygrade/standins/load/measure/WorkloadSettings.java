package io.bilberrygrade.standins.load.measure;

import java.time.Duration;

/**
 * What a workload is made from. {@code load} is the offered prompt tokens a second as a fraction of
 * {@code capacity}, the prompt tokens a second that all engines prefill together.
 */
record WorkloadSettings(long seed, double load, Duration duration, double capacity) {}
