package io.bilberrygrade.serving.forward;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Decides at which age of the last confirmation a daemon reads the configuration itself. */
final class ConfirmationAge {
    /**
     * Maximum age of the last confirmation by any daemon, at which this daemon reads the
     * configuration itself; the staleness limit of keys of some seconds leaves time for a second
     * attempt.
     */
    private static final Duration CONFIRM_PERIOD = Duration.ofMillis(2_800);

    /**
     * Fraction of that age at which the aggregator reads, whose confirmation reaches all others.
     */
    private static final double AGGREGATOR_FRACTION = 0.4;

    /**
     * Least fraction of that age at which others read, spread so that partitioned daemons don't
     * read in step.
     */
    private static final double MIN_FRACTION = 0.75;

    private final UniformRandomProvider mRandom;
    private final BooleanSupplier mIsAggregator;

    ConfirmationAge(UniformRandomProvider random, BooleanSupplier isAggregator) {
        mRandom = random;
        mIsAggregator = isAggregator;
    }

    /** Returns the age at which to read next. */
    Duration next() {
        double fraction =
                mIsAggregator.getAsBoolean()
                        ? AGGREGATOR_FRACTION
                        : MIN_FRACTION + (1 - MIN_FRACTION) * mRandom.nextDouble();
        return Duration.ofMillis(Math.round(CONFIRM_PERIOD.toMillis() * fraction));
    }
}
