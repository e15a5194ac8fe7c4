package io.bilberrygrade.core.exchange;

import io.bilberrygrade.core.room.FleetTraits;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether a daemon asks the aggregator for the sums of work just before it places a
 * request, and reports the placement just after it. The load is a large fleet whose mix of requests
 * swings within seconds: the periodic exchange takes longer there than a swing, so that daemons
 * place on engines that others have filled meanwhile. Each daemon gets few requests in such a
 * fleet, so that calls for each of them are as few as the periodic ones.
 */
public final class SumsOnDemand {
    /** Interval of the periodic exchange up to which its sums are recent enough. */
    static final Duration MAX_PERIODIC_INTERVAL = Duration.ofMillis(150);

    /**
     * Calls a second to the aggregator by all daemons together; about as many again as the periodic
     * ones, which follow from the processing time of a call.
     */
    public static final double MAX_CALLS_PER_SECOND = 600;

    /** Calls of one daemon in a row. */
    public static final double MAX_BURST = 8;

    /** Fraction of its goal by which a request may be delayed for the sums. */
    private static final int WAIT_DIVISOR = 10;

    /** Fraction of the goal that the sums may be old. */
    private static final int AGE_DIVISOR = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double mCalls = MAX_BURST;
    private Instant mFilledAt = Instant.MIN;

    /** Returns whether sums are asked for on demand at all, with the given periodic exchange. */
    public static boolean isActive(FleetTraits traits, Duration interval) {
        return traits.uneven() && interval.compareTo(MAX_PERIODIC_INTERVAL) > 0;
    }

    /** Returns how long a request with the given goal waits for the sums at most. */
    public static Duration maxWait(Duration goal) {
        return goal.dividedBy(WAIT_DIVISOR);
    }

    /** Returns whether the sums are too old to place a request with the given goal. */
    public static boolean isTooOld(Optional<Duration> age, Duration goal) {
        return age.filter(a -> a.compareTo(goal.dividedBy(AGE_DIVISOR)) <= 0).isEmpty();
    }

    /** Takes a call from this daemon's share of the calls to the aggregator, if there is one. */
    public boolean tryCall(int fleet, Instant now) {
        if (mFilledAt.isBefore(now)) {
            double seconds =
                    mFilledAt.equals(Instant.MIN)
                            ? 0
                            : Duration.between(mFilledAt, now).toMillis() / MILLIS_PER_SECOND;
            double share = MAX_CALLS_PER_SECOND / Math.max(1, fleet);
            mCalls = Math.min(MAX_BURST, mCalls + seconds * share);
            mFilledAt = now;
        }
        if (mCalls < 1) {
            return false;
        }
        mCalls--;
        return true;
    }
}
