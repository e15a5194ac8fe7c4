package io.bilberrygrade.core.cost;

import java.time.Duration;
import java.time.Instant;

/** Number of samples, of which each counts half as much every minute. */
final class DecayingWeight {
    private static final double HALF_LIFE_MILLIS = Duration.ofMinutes(1).toMillis();

    private double mWeight;
    private Instant mAt = Instant.EPOCH;

    void add(Instant now) {
        mWeight = at(now) + 1;
        mAt = now;
    }

    double at(Instant now) {
        if (mWeight == 0) {
            return 0;
        }
        double millis = Math.max(0, Duration.between(mAt, now).toMillis());
        return mWeight * Math.pow(2, -millis / HALF_LIFE_MILLIS);
    }
}
