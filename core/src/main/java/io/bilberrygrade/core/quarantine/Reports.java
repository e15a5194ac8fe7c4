package io.bilberrygrade.core.quarantine;

import java.time.Duration;
import java.time.Instant;

/**
 * How far daemons have reported what they had at crashed endpoints.
 *
 * @param until time of the last crashes of which all daemons in reach have had time to report
 * @param byMost whether most of the fleet is in reach; the others may run nevertheless, and have
 *     had requests at the same endpoints
 */
public record Reports(Instant until, boolean byMost) {
    /** Time in which a part that is in sound requests too is in one that is answered. */
    private static final Duration CLEARING_TIME = Duration.ofMillis(1_200);

    /** Returns the reports before any daemon was asked. */
    public static Reports none(boolean byMost) {
        return new Reports(Instant.MIN, byMost);
    }

    /** Returns the time of the last crashes of whose suspects sound ones have been cleared. */
    Instant clearedUntil() {
        return until.equals(Instant.MIN) ? until : until.minus(CLEARING_TIME);
    }
}
