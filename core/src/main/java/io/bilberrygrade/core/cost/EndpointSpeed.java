package io.bilberrygrade.core.cost;

import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Speed of each endpoint run relative to the others, learned from the ratio of observed to
 * predicted times. A fault of the prediction makes all endpoints appear slow alike, so that only
 * the difference from the median counts. The fewer samples a run has, the closer its speed is to
 * the median.
 */
public final class EndpointSpeed {
    /** Samples of equal weight with the assumption that the run is as fast as the others. */
    private static final double PRIOR_SAMPLES = 4;

    /** Number of samples from which on the latest ones replace the earlier ones. */
    private static final double MAX_SAMPLES = 16;

    /** Maximum factor by which one sample may differ from the estimate before it. */
    private static final double MAX_LOG_STEP = Math.log(2);

    /** Limit of the factor between a run's speed and the median. */
    private static final double MAX_FACTOR = 8;

    /** Factor from which on a run counts as slow. */
    private static final double SLOW = 1.5;

    private static final Duration MEDIAN_LIFETIME = Duration.ofSeconds(1);

    private final Map<EndpointRun, Factor> mFactors = new HashMap<>();
    private double mMedian;
    private Instant mMedianAt = Instant.MIN;

    /** Records the ratio of the observed to the predicted time of a response. */
    public void recordRatio(EndpointRun run, double ratio, Instant now) {
        if (ratio > 0 && !Double.isInfinite(ratio)) {
            mFactors.computeIfAbsent(run, r -> new Factor()).add(Math.log(ratio), now);
            updateMedian(now);
        }
    }

    private void updateMedian(Instant now) {
        boolean current =
                mFactors.size() > 2
                        && !mMedianAt.equals(Instant.MIN)
                        && Duration.between(mMedianAt, now).compareTo(MEDIAN_LIFETIME) < 0;
        if (!current) {
            double[] sorted =
                    mFactors.values().stream().mapToDouble(f -> f.log(now)).sorted().toArray();
            mMedian = sorted[(sorted.length - 1) / 2];
            mMedianAt = now;
        }
    }

    /** Returns how many times as fast as the median a run is. */
    public double of(EndpointRun run, Instant now) {
        Factor factor = mFactors.get(run);
        return factor == null
                ? 1
                : Math.clamp(Math.exp(mMedian - factor.log(now)), 1 / MAX_FACTOR, MAX_FACTOR);
    }

    /** Returns whether a run is so slow that its responses say nothing about the requests. */
    public boolean isSlow(EndpointRun run, Instant now) {
        return of(run, now) < 1 / SLOW;
    }

    /** Removes the runs that don't meet the condition. */
    public void retain(Predicate<EndpointRun> condition) {
        mFactors.keySet().removeIf(condition.negate());
    }

    private static final class Factor {
        private final DecayingWeight mWeight = new DecayingWeight();
        private double mLog;

        void add(double log, Instant now) {
            mWeight.add(now);
            double step = Math.clamp(log - mLog, -MAX_LOG_STEP, MAX_LOG_STEP);
            mLog += step / Math.min(MAX_SAMPLES, mWeight.at(now));
        }

        double log(Instant now) {
            double samples = mWeight.at(now);
            return mLog * samples / (samples + PRIOR_SAMPLES);
        }
    }
}
