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

    /**
     * Factor up to which runs count as equally fast. What other instances have just sent to a run
     * isn't known and spreads the ratios; at 1.25, equally fast engines were avoided by chance and
     * long prompts were delayed in a simulation.
     */
    private static final double EVEN = 1.5;

    private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);

    private final Map<EndpointRun, Factor> mFactors = new HashMap<>();

    /** Speeds as of the last update, since placements look them up for each candidate. */
    private final Map<EndpointRun, Double> mSpeeds = new HashMap<>();

    private double mMedian;
    private Instant mUpdatedAt = Instant.MIN;

    /** Records the ratio of the observed to the predicted time of a response. */
    public void recordRatio(EndpointRun run, double ratio, Instant now) {
        if (ratio > 0 && !Double.isInfinite(ratio)) {
            Factor factor = mFactors.computeIfAbsent(run, r -> new Factor());
            factor.add(Math.log(ratio), now);
            if (mFactors.size() <= 2 || isDue(now)) {
                update(now);
            } else {
                mSpeeds.put(run, speed(factor, now));
            }
        }
    }

    private boolean isDue(Instant now) {
        return mUpdatedAt.equals(Instant.MIN)
                || Duration.between(mUpdatedAt, now).compareTo(UPDATE_INTERVAL) >= 0;
    }

    private void update(Instant now) {
        double[] sorted =
                mFactors.values().stream().mapToDouble(f -> f.log(now)).sorted().toArray();
        mMedian = sorted[(sorted.length - 1) / 2];
        mFactors.forEach((run, factor) -> mSpeeds.put(run, speed(factor, now)));
        mUpdatedAt = now;
    }

    private double speed(Factor factor, Instant now) {
        double speed = Math.exp(mMedian - factor.log(now));
        return speed > 1 / EVEN && speed < EVEN ? 1 : Math.clamp(speed, 1 / MAX_FACTOR, MAX_FACTOR);
    }

    /** Returns how many times as fast as the median a run is. */
    public double of(EndpointRun run) {
        return mSpeeds.getOrDefault(run, 1.0);
    }

    /** Returns whether a run is so slow that its responses say nothing about the requests. */
    public boolean isSlow(EndpointRun run) {
        return of(run) < 1;
    }

    /** Removes the runs that don't meet the condition. */
    public void retain(Predicate<EndpointRun> condition) {
        mFactors.keySet().removeIf(condition.negate());
        mSpeeds.keySet().removeIf(condition.negate());
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
