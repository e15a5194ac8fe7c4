package io.bilberrygrade.core.exchange;

import java.time.Duration;

/**
 * Interval at which a daemon reports its work and requests the sums. The aggregator answers all
 * daemons, so the interval grows with the fleet and the aggregator's load stays constant.
 */
public final class ExchangeInterval {
    /** Minimum interval; a pass of an engine with decoding streams takes about half of it. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(80);

    /** Processing time of the aggregator per daemon; it has only a fraction of a core. */
    private static final Duration INTERVAL_PER_DAEMON = Duration.ofMillis(3);

    /** Factor by which the interval grows while nothing changes. */
    private static final int QUIET_FACTOR = 4;

    /**
     * Maximum interval while nothing changes; several such intervals fit into the lifetime of a
     * report.
     */
    private static final Duration MAX_QUIET_INTERVAL = Duration.ofMillis(400);

    private ExchangeInterval() {}

    /** Returns the interval until the next report. */
    public static Duration nextInterval(int fleet, boolean quiet) {
        Duration scaled = INTERVAL_PER_DAEMON.multipliedBy(fleet);
        Duration busy = longer(scaled, MIN_INTERVAL);
        if (!quiet) {
            return busy;
        }
        Duration quietInterval = busy.multipliedBy(QUIET_FACTOR);
        return quietInterval.compareTo(MAX_QUIET_INTERVAL) < 0
                ? quietInterval
                : longer(busy, MAX_QUIET_INTERVAL);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
