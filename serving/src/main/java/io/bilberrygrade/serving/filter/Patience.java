package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.routing.Placement;
import java.time.Duration;

/**
 * Decides how long an engine may stay silent before its request is tried elsewhere: a multiple of
 * the predicted time to first token that doubles with each attempt, so that a fleet which is slow
 * as a whole isn't given the same work again and again.
 */
public final class Patience {
    private static final Duration SHORTEST = Duration.ofSeconds(3);
    private static final int FACTOR = 4;

    private final boolean mBounded;

    /** Creates the decision; unless it is bounded, only the deadline ends an attempt. */
    public Patience(boolean bounded) {
        mBounded = bounded;
    }

    /** Returns the patience with the given attempt, counted from 1. */
    Duration of(Placement placement, int attempt, Duration remaining) {
        if (!mBounded) {
            return atLeastOneMilli(remaining);
        }
        Duration predicted =
                placement.predictedTimeToFirstToken().multipliedBy((long) FACTOR << (attempt - 1));
        Duration patience = predicted.compareTo(SHORTEST) < 0 ? SHORTEST : predicted;
        return atLeastOneMilli(patience.compareTo(remaining) < 0 ? patience : remaining);
    }

    private static Duration atLeastOneMilli(Duration d) {
        return d.toMillis() < 1 ? Duration.ofMillis(1) : d;
    }
}
