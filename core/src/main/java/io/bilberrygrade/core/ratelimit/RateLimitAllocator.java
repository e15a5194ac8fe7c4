package io.bilberrygrade.core.ratelimit;

import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Hands out the requests that rate-limited endpoints accept, as an aggregator: a token bucket for
 * each endpoint run, filled at the aggregator's part of the limit. While a daemon has requests that
 * nothing else can serve, daemons with other endpoints to choose from get none.
 */
public final class RateLimitAllocator {
    /** Part of a limit that is used; the rest covers clocks and delays that differ. */
    static final double USED_FRACTION = 0.95;

    /**
     * Least rate, in requests a second, at which an endpoint is tried; its answers are the only way
     * to learn that a limit of almost nothing has ended.
     */
    static final double MIN_RATE = 0.1;

    /** Time of filling that a bucket holds, if that is more than one request. */
    public static final Duration CAPACITY_TIME = Duration.ofMillis(500);

    /** Time for which requests that nothing else can serve keep their precedence. */
    private static final Duration STARVED_TIME = Duration.ofSeconds(1);

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<EndpointRun, Bucket> mBuckets = new HashMap<>();

    /** Discards all tokens, when this daemon is no aggregator. */
    public void clear() {
        mBuckets.clear();
    }

    /**
     * Fills the buckets of the runs with a limit in force; {@code fraction} is the part of each
     * limit that this aggregator may hand out.
     */
    public void fill(EndpointRateLimits limits, double fraction, Instant now) {
        mBuckets.keySet().removeIf(run -> !limits.isLimited(run));
        for (EndpointRun run : limits.limitedRuns()) {
            double rate = limits.grantRate(run).orElse(0) * fraction;
            mBuckets.computeIfAbsent(run, r -> new Bucket(now)).fill(rate, now);
        }
    }

    /** Returns the permits a second that may be granted under a limit that an endpoint states. */
    static double grantRate(RateLimit limit) {
        return Math.max(limit.perSecond() * USED_FRACTION, MIN_RATE);
    }

    /** Hands out permits for a run to a daemon. */
    public PermitGrant grant(EndpointRun run, PermitRequest request, Instant now) {
        Bucket bucket = mBuckets.get(run);
        return bucket == null ? new PermitGrant(0, Optional.empty()) : bucket.grant(request, now);
    }

    private static final class Bucket {
        private double mTokens;
        private double mRate;
        private Instant mFilledAt;
        private Instant mStarvedAt = Instant.MIN;
        private Instant mUnmetSince;
        private int mUnmet;
        private int mUnmetBefore;

        Bucket(Instant now) {
            mFilledAt = now;
            mUnmetSince = now;
        }

        void fill(double rate, Instant now) {
            double seconds = Duration.between(mFilledAt, now).toNanos() / NANOS_PER_SECOND;
            double capacity = Math.max(1, rate * CAPACITY_TIME.toMillis() / MILLIS_PER_SECOND);
            mTokens = Math.min(capacity, mTokens + Math.max(0, seconds) * mRate);
            mRate = rate;
            mFilledAt = now;
        }

        PermitGrant grant(PermitRequest request, Instant now) {
            boolean othersStarve = mStarvedAt.plus(STARVED_TIME).isAfter(now);
            int permits =
                    request.starved() || !othersStarve
                            ? Math.min(request.wanted(), (int) mTokens)
                            : 0;
            mTokens -= permits;
            if (request.starved()) {
                mStarvedAt = now;
                countUnmet(request.wanted() - permits, now);
            }
            return new PermitGrant(permits, nextIn());
        }

        private void countUnmet(int requests, Instant now) {
            if (!mUnmetSince.plus(STARVED_TIME).isAfter(now)) {
                mUnmetBefore = mUnmet;
                mUnmet = 0;
                mUnmetSince = now;
            }
            mUnmet += requests;
        }

        /** Assumes that the requests that were just turned away return first. */
        private Optional<Duration> nextIn() {
            if (mRate <= 0) {
                return Optional.empty();
            }
            double missing = mTokens >= 1 ? 0 : 1 + mUnmetBefore - mTokens;
            return Optional.of(
                    Duration.ofMillis((long) Math.ceil(missing / mRate * MILLIS_PER_SECOND)));
        }
    }
}
