package io.bilberrygrade.core.cost;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;

/**
 * Distribution of one kind of cost, estimated from samples. Starts with the median and the spread
 * of the first samples; each later one moves it by a bounded step, so that a single wrong sample
 * changes little and a lasting change is followed within some tens of samples.
 */
final class CostEstimate {
    /** Samples from which a median and a spread can be told; with one wrong among them. */
    static final int MIN_SAMPLES = 8;

    private static final int LOWER_QUARTILE = 1;
    private static final int UPPER_QUARTILE = 6;

    /** Distance of the quartiles of a normal distribution, in standard deviations. */
    private static final double QUARTILE_DISTANCE = 1.349;

    /** Weight of a sample against all earlier ones, about one in the last twenty. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Distance from the median beyond which a sample counts as if it were at that distance. */
    private static final double MAX_DEVIATIONS = 2.5;

    private static final double MIN_CLAMP = Math.log(2);

    /** Time without samples after which the estimate is discarded. */
    private static final Duration LIFETIME = Duration.ofMinutes(2);

    private final double[] mFirst = new double[MIN_SAMPLES];
    private final DecayingWeight mUse = new DecayingWeight();
    private int mCount;
    private double mLogMedian;
    private double mVariance;
    private Instant mLastAt = Instant.MIN;

    /** Adds a sample, which has to be positive and finite. */
    void add(double value, Instant now) {
        if (isExpired(now)) {
            mCount = 0;
        }
        mLastAt = now;
        mUse.add(now);
        double sample = Math.log(value);
        if (mCount < MIN_SAMPLES) {
            mFirst[mCount++] = sample;
            if (mCount == MIN_SAMPLES) {
                start();
            }
        } else {
            adjust(sample);
        }
    }

    private void start() {
        double[] sorted = mFirst.clone();
        Arrays.sort(sorted);
        mLogMedian = (sorted[MIN_SAMPLES / 2 - 1] + sorted[MIN_SAMPLES / 2]) / 2;
        double deviation = (sorted[UPPER_QUARTILE] - sorted[LOWER_QUARTILE]) / QUARTILE_DISTANCE;
        mVariance = deviation * deviation;
    }

    private void adjust(double sample) {
        double clamp = Math.max(MIN_CLAMP, MAX_DEVIATIONS * Math.sqrt(mVariance));
        double difference = Math.clamp(sample - mLogMedian, -clamp, clamp);
        mLogMedian += SAMPLE_WEIGHT * difference;
        mVariance += SAMPLE_WEIGHT * (difference * difference - mVariance);
    }

    /** Returns the distribution; empty while there are too few recent samples. */
    Optional<CostDistribution> distribution(Instant now) {
        return mCount < MIN_SAMPLES || isExpired(now)
                ? Optional.empty()
                : Optional.of(new CostDistribution(mLogMedian, Math.sqrt(mVariance)));
    }

    /** Returns how much the estimate is used at present. */
    double use(Instant now) {
        return mUse.at(now);
    }

    private boolean isExpired(Instant now) {
        return !mLastAt.equals(Instant.MIN)
                && Duration.between(mLastAt, now).compareTo(LIFETIME) > 0;
    }
}
