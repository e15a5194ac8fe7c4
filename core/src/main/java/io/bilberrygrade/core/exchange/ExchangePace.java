package io.bilberrygrade.core.exchange;

import java.time.Duration;

/**
 * How often a daemon states its work and asks for the sums. The member that sums up answers all, so
 * that the pause grows with the fleet and its load stays the same.
 */
public final class ExchangePace {
    /** Least pause; a pass of an engine that writes takes about half of it. */
    private static final Duration LEAST = Duration.ofMillis(80);

    /** Time of the answering member for each daemon; its processor is a part of a core. */
    private static final Duration PER_DAEMON = Duration.ofMillis(3);

    /** Pauses between two statements while nothing changes. */
    private static final int QUIET_PAUSES = 4;

    /** Longest pause while nothing changes; several fit into the time that a statement counts. */
    private static final Duration MOST_QUIET = Duration.ofMillis(400);

    private ExchangePace() {}

    /** Returns the pause before the next statement. */
    public static Duration pause(int fleet, boolean quiet) {
        Duration scaled = PER_DAEMON.multipliedBy(fleet);
        Duration busy = longer(scaled, LEAST);
        if (!quiet) {
            return busy;
        }
        Duration rest = busy.multipliedBy(QUIET_PAUSES);
        return rest.compareTo(MOST_QUIET) < 0 ? rest : longer(busy, MOST_QUIET);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
