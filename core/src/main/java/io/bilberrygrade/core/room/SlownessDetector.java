package io.bilberrygrade.core.room;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;

/**
 * Decides whether an instance is too slow for the role of aggregator: its own timers fire late, or
 * no peer answers its calls in time, which points to its link. The load is an aggregator whose
 * processor or link is used up by requests. An instance that was slow stays so for a time, longer
 * after each relapse, since its load falls with the role and would rise with it again.
 */
public final class SlownessDetector {
    /** Delay from which an instance is slow: half of the time after which calls to it fail. */
    static final Duration LIMIT = Duration.ofMillis(200);

    /** Delay below which an instance has recovered. */
    static final Duration RECOVERED = LIMIT.dividedBy(4);

    /** Time without a delay after which an instance that was slow counts as sound again. */
    static final Duration MIN_HOLD = Duration.ofSeconds(30);

    static final Duration MAX_HOLD = Duration.ofMinutes(16);

    /** Time after a recovery within which the next slowness is a relapse. */
    static final Duration RELAPSE_TIME = Duration.ofMinutes(10);

    /** Time for which a new aggregator keeps its role; permits are settled after 3.5 s of it. */
    static final Duration MIN_TENURE = Duration.ofSeconds(10);

    /** Number of samples that are judged; some seconds of late timers. */
    private static final int SAMPLES = 9;

    /** Least number of samples, so that a single pause isn't taken for slowness. */
    private static final int MIN_SAMPLES = 5;

    private static final Duration SAMPLE_LIFETIME = Duration.ofSeconds(30);

    private final Deque<Sample> mTimers = new ArrayDeque<>();
    private final Deque<Sample> mResponses = new ArrayDeque<>();
    private boolean mAggregator;
    private Instant mTenureEndsAt = Instant.MIN;
    private boolean mSlow;
    private Instant mLastSignAt = Instant.MIN;
    private Instant mRecoveredAt = Instant.MIN;
    private Duration mHold = MIN_HOLD;

    /** Records whether the instance is the aggregator. */
    public void recordRole(boolean aggregator, Instant now) {
        if (aggregator != mAggregator) {
            mAggregator = aggregator;
            mResponses.clear();
            mTenureEndsAt = aggregator ? now.plus(MIN_TENURE) : Instant.MIN;
        }
    }

    /** Records how late a timer fired. */
    public void recordTimer(Duration late, Instant now) {
        add(mTimers, late, now);
    }

    /**
     * Records how long a peer took to answer. Only the aggregator's calls count: the others call
     * the aggregator, which may be the slow one.
     */
    public void recordResponse(Duration took, Instant now) {
        if (mAggregator) {
            add(mResponses, took, now);
        }
    }

    private static void add(Deque<Sample> samples, Duration delay, Instant now) {
        samples.addLast(new Sample(delay, now));
        if (samples.size() > SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the median lateness of the timers; 0 if there are too few samples. */
    public Duration timerDelay(Instant now) {
        return at(mTimers, mTimers.size() / 2, now);
    }

    /** Returns the fastest response; 0 if there are too few samples. */
    public Duration fastestResponse(Instant now) {
        return at(mResponses, 0, now);
    }

    private static Duration at(Deque<Sample> samples, int rank, Instant now) {
        samples.removeIf(s -> s.at().plus(SAMPLE_LIFETIME).isBefore(now));
        return samples.size() < MIN_SAMPLES
                ? Duration.ZERO
                : samples.stream()
                        .map(Sample::delay)
                        .sorted(Comparator.naturalOrder())
                        .skip(Math.min(rank, samples.size() - 1))
                        .findFirst()
                        .orElse(Duration.ZERO);
    }

    /** Returns the time that must pass without a delay before the instance is sound again. */
    public Duration hold() {
        return mHold;
    }

    /** Returns whether the instance is slow. */
    public boolean isSlow(Instant now) {
        boolean late = isOver(LIMIT, now);
        if (!mSlow && late && !now.isBefore(mTenureEndsAt)) {
            mSlow = true;
            mLastSignAt = now;
            mHold = isRelapse(now) ? shorter(mHold.multipliedBy(2), MAX_HOLD) : MIN_HOLD;
        } else if (mSlow && isOver(RECOVERED, now)) {
            mLastSignAt = now;
        } else if (mSlow && !now.isBefore(mLastSignAt.plus(mHold))) {
            mSlow = false;
            mRecoveredAt = now;
        }
        return mSlow;
    }

    private boolean isOver(Duration limit, Instant now) {
        return timerDelay(now).compareTo(limit) >= 0 || fastestResponse(now).compareTo(limit) >= 0;
    }

    private boolean isRelapse(Instant now) {
        return !mRecoveredAt.equals(Instant.MIN) && now.isBefore(mRecoveredAt.plus(RELAPSE_TIME));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private record Sample(Duration delay, Instant at) {}
}
