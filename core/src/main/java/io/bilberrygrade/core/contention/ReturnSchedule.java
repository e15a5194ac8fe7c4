package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Times at which refused callers may return, each with capacity of its own. The load that it
 * answers: hundreds of callers refused in a burst, which would all return at the same time if they
 * were given the same delay, and be refused again.
 *
 * <p>The capacity of this instance is a timeline: its share of the slots that become free. A
 * promise is a stretch of it, as long as the request needs, and stretches never overlap, so that
 * nothing is promised twice even as the rate changes. Callers that asked before get the same time
 * again, so that asking often gains nothing and uses nothing up.
 */
public final class ReturnSchedule {
    /** Promises kept; beyond, callers get a time after the last one that isn't kept for them. */
    private static final int MAX_PROMISES = 1_024;

    /** Time after which a caller that hasn't returned isn't expected any more. */
    private static final Duration PATIENCE = Duration.ofSeconds(1);

    /** Part of their time left up to which clients follow a {@code Retry-After}. */
    private static final int TIME_LEFT_DIVISOR = 3;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Parts of the capacity that ranks 0, 1, 2 and all below may be promised. */
    private static final double[] RANK_PARTS = {1, 0.75, 0.5, 0.25};

    /** Ordered by start; stretches don't overlap. */
    private final List<Promise> mTimeline = new ArrayList<>();

    private final Map<Long, Promise> mByCaller = new HashMap<>();

    /**
     * Returns when a refused caller may return.
     *
     * @param caller identifies the request however often it is sent
     * @param rank its rank; the highest if it has come in a time that it was given
     * @param earliest predicted wait until any capacity becomes free
     * @param need time of this instance's share of the capacity that the request takes
     * @param timeLeft time after which the caller has no use for an answer
     */
    public Return refuse(
            long caller,
            Rank rank,
            Duration earliest,
            Duration need,
            Duration timeLeft,
            Instant now) {
        removeOld(now);
        Promise known = mByCaller.get(caller);
        if (known != null) {
            return new Return(delay(known, now), true);
        }
        Promise promise = find(caller, rank, earliest, need, now);
        Duration delay = delay(promise, now);
        boolean kept =
                mTimeline.size() < MAX_PROMISES
                        && delay.compareTo(timeLeft.dividedBy(TIME_LEFT_DIVISOR)) <= 0;
        if (kept) {
            add(promise);
        }
        return new Return(delay, kept);
    }

    /** Returns the delay that a caller of a rank would get that wasn't refused before. */
    Duration delay(Rank rank, Duration earliest, Duration need, Instant now) {
        return delay(find(0, rank, earliest, need, now), now);
    }

    /** Returns the claim of a caller; a due one is thereby used. */
    public Claim claim(long caller, Instant now) {
        removeOld(now);
        Promise promise = mByCaller.get(caller);
        if (promise == null) {
            return Claim.NONE;
        }
        if (promise.end().isAfter(now)) {
            return Claim.EARLY;
        }
        remove(promise);
        return Claim.DUE;
    }

    /** Drops the promise to a caller that was admitted before its time. */
    public void drop(long caller) {
        Optional.ofNullable(mByCaller.get(caller)).ifPresent(this::remove);
    }

    /** Returns the time until a promise in whole milliseconds, in which callers are told it. */
    private static Duration delay(Promise promise, Instant now) {
        return ceilMillis((double) Duration.between(now, promise.end()).toNanos());
    }

    private static Duration ceilMillis(double nanos) {
        return Duration.ofMillis((long) Math.ceil(nanos / NANOS_PER_MILLI));
    }

    /** Returns the number of promises that are kept. */
    public int size() {
        return mTimeline.size();
    }

    private static double part(Rank rank) {
        return RANK_PARTS[Math.min(rank.level(), RANK_PARTS.length - 1)];
    }

    /**
     * Finds the first gap of the timeline for a request of a rank that may use the given part. Only
     * the end of the gap is used, so that the rest is left for higher ranks.
     */
    private Promise find(long caller, Rank rank, Duration earliest, Duration need, Instant now) {
        Duration stretch = ceilMillis(need.toNanos() / part(rank));
        Instant start = now.plus(earliest);
        for (Promise p : mTimeline) {
            if (!start.plus(stretch).isAfter(p.start())) {
                break;
            }
            start = start.isAfter(p.end()) ? start : p.end();
        }
        Instant end = start.plus(stretch);
        return new Promise(caller, end.minus(need), end);
    }

    private void add(Promise promise) {
        int index = 0;
        while (index < mTimeline.size() && mTimeline.get(index).start().isBefore(promise.start())) {
            index++;
        }
        mTimeline.add(index, promise);
        mByCaller.put(promise.caller(), promise);
    }

    private void remove(Promise promise) {
        mTimeline.remove(promise);
        mByCaller.remove(promise.caller());
    }

    private void removeOld(Instant now) {
        mTimeline.removeIf(p -> !p.end().plus(PATIENCE).isAfter(now));
        mByCaller.values().removeIf(p -> !p.end().plus(PATIENCE).isAfter(now));
    }

    /**
     * When a caller may return.
     *
     * @param promised whether capacity is kept for it then
     */
    public record Return(Duration delay, boolean promised) {}

    /** Claim of a caller that asks. */
    public enum Claim {
        /** It was promised nothing, or came too late. */
        NONE,
        /** It has come before the time that it was given. */
        EARLY,
        /** It has come in its time. */
        DUE
    }

    private record Promise(long caller, Instant start, Instant end) {}
}
