package io.bilberrygrade.core.room;

import io.bilberrygrade.core.ratelimit.FollowerShares;
import io.bilberrygrade.core.ratelimit.RateLimitAllocator;
import java.time.Duration;

/**
 * Bound of the requests that reach a cold endpoint in any one second: the rate that it tolerates
 * times {@code excess}, and {@code slack} more.
 */
public record ColdBounds(double excess, double slack) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** Time limit of connecting, within which a request arrives after its permit was used. */
    private static final Duration CONNECT_TIME = Duration.ofMillis(400);

    /**
     * Returns the rate, in requests a second, at which all aggregators together may grant permits.
     *
     * <p>What arrives within the window was granted in it, within the lifetime of a permit before
     * it, or within the time to connect before that. Besides, an aggregator hands out what it has
     * saved up: half a second's filling or a whole permit, whichever is more, and there are at most
     * four aggregators with a quarter of the rate or more each.
     */
    public double grantRate(double tolerated) {
        double allowed = tolerated * excess + slack;
        double exposed =
                seconds(WINDOW) + seconds(FollowerShares.PERMIT_LIFETIME) + seconds(CONNECT_TIME);
        double saved = seconds(RateLimitAllocator.CAPACITY_TIME);
        double byFilling = allowed / (exposed + saved);
        double byWholePermits = (allowed - FollowerShares.MAX_AGGREGATORS) / exposed;
        return Math.max(0, Math.min(tolerated, Math.min(byFilling, byWholePermits)));
    }

    private static double seconds(Duration span) {
        return span.toMillis() / MILLIS_PER_SECOND;
    }
}
