/** Counters and timers of a daemon. */
package io.bilberrygrade.serving.metrics;
