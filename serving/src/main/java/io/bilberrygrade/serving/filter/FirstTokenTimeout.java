package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.routing.Placement;
import java.time.Duration;

/**
 * Computes how long an attempt may take to its first token before the request is retried elsewhere:
 * a multiple of the predicted time to first token, which doubles with each attempt so that a fleet
 * that is slow as a whole isn't sent the same work repeatedly.
 */
public final class FirstTokenTimeout {
    private static final Duration MIN_TIMEOUT = Duration.ofSeconds(3);
    private static final int PREDICTION_FACTOR = 4;

    private final boolean mBounded;

    /** Creates the timeout; unless {@code bounded}, only the deadline ends an attempt. */
    public FirstTokenTimeout(boolean bounded) {
        mBounded = bounded;
    }

    /** Returns the timeout of the given attempt, counted from 1. */
    Duration of(Placement placement, int attempt, Duration remaining) {
        if (!mBounded) {
            return atLeastOneMilli(remaining);
        }
        Duration predicted =
                placement
                        .predictedTimeToFirstToken()
                        .multipliedBy((long) PREDICTION_FACTOR << (attempt - 1));
        Duration timeout = predicted.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : predicted;
        return atLeastOneMilli(timeout.compareTo(remaining) < 0 ? timeout : remaining);
    }

    private static Duration atLeastOneMilli(Duration d) {
        return d.toMillis() < 1 ? Duration.ofMillis(1) : d;
    }
}
