package io.bilberrygrade.core.exchange;

import io.bilberrygrade.core.room.Capacity;
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

    /** Processing time per daemon of an aggregator with a core of its own. */
    private static final Duration SHORT_INTERVAL_PER_DAEMON = Duration.ofMillis(1);

    /**
     * Size of the fleet up to which an aggregator with enough capacity allows the short interval.
     */
    private static final int MAX_SHORT_FLEET = 300;

    /**
     * Further interval for each daemon above that size, which leads to the usual interval at 410
     * daemons, where a daemon's control traffic is limited to 2 KB/s.
     */
    private static final Duration INTERVAL_PER_DAEMON_ABOVE = Duration.ofNanos(7_454_546);

    /** Processor time in thousandths of a core from which an aggregator has enough of it. */
    private static final long MIN_PROCESSOR_MILLIS = 1_000;

    /** Link from which an aggregator has enough; the short interval needs some 7 Mbit/s of it. */
    private static final long MIN_LINK_MBPS = 70;

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
        return nextInterval(INTERVAL_PER_DAEMON.multipliedBy(fleet), quiet);
    }

    /**
     * Returns the interval until the next report in an uneven fleet whose aggregator states a
     * capacity.
     */
    public static Duration nextInterval(int fleet, boolean quiet, Capacity aggregator) {
        boolean enough =
                aggregator.processorMillis() >= MIN_PROCESSOR_MILLIS
                        && aggregator.linkMbps() >= MIN_LINK_MBPS;
        Duration usual = INTERVAL_PER_DAEMON.multipliedBy(fleet);
        Duration shortened =
                SHORT_INTERVAL_PER_DAEMON
                        .multipliedBy(fleet)
                        .plus(
                                INTERVAL_PER_DAEMON_ABOVE.multipliedBy(
                                        Math.max(0, fleet - MAX_SHORT_FLEET)));
        return nextInterval(enough && shortened.compareTo(usual) < 0 ? shortened : usual, quiet);
    }

    private static Duration nextInterval(Duration scaled, boolean quiet) {
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
