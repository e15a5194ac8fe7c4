package io.bilberrygrade.core.ratelimit;

import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The part of a fleet-wide limit that an aggregator may hand out. Every daemon has an equal share
 * and entrusts it to the aggregator that it follows. Since a daemon follows one aggregator at a
 * time, aggregators that don't know of each other never hand out more than the whole between them.
 */
public final class FollowerShares {
    /** Lifetime of a permit that an aggregator hands out. */
    public static final Duration PERMIT_LIFETIME = Duration.ofSeconds(1);

    /** Time for which a share stays with an aggregator after the last report. */
    static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

    /**
     * Time for which a daemon has to follow an aggregator before its share counts there: by then
     * the share has expired at the aggregator before, and so have the permits and calls in flight.
     */
    public static final Duration SETTLE_TIME =
            REPORT_LIFETIME.plus(PERMIT_LIFETIME).plusMillis(500);

    /**
     * Part of the fleet below which an aggregator hands out nothing. Each aggregator may hand out a
     * whole request, however small its part of the limit, so their number must be small.
     */
    private static final double MIN_FRACTION = 0.25;

    /** Maximum number of aggregators that hand out permits at the same time. */
    public static final int MAX_AGGREGATORS = (int) (1 / MIN_FRACTION);

    private final Map<Address, Follower> mFollowers = new HashMap<>();

    /** Records a report of a daemon that has followed this one for the given time. */
    public void recordReport(Address daemon, Duration followed, Instant now) {
        mFollowers.put(daemon, new Follower(followed, now));
    }

    /** Removes all followers, when this daemon follows another. */
    public void clear() {
        mFollowers.clear();
    }

    /** Returns the part of the whole, between 0 and 1, in a fleet of at most the given size. */
    public double fraction(int fleet, Instant now) {
        mFollowers.values().removeIf(f -> !f.reportedAt().plus(REPORT_LIFETIME).isAfter(now));
        long settled =
                mFollowers.values().stream()
                        .filter(f -> f.followed().compareTo(SETTLE_TIME) >= 0)
                        .count();
        double fraction = Math.min(1, (double) settled / Math.max(1, fleet));
        return fraction < MIN_FRACTION ? 0 : fraction;
    }

    private record Follower(Duration followed, Instant reportedAt) {}
}
