package io.bilberrygrade.core.admission;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Time after which a refused caller may come back: the wait that the backlog asks for, within
 * bounds, and up to half as much again by chance, so that callers don't come back together.
 */
public final class RetryAfter {
    private static final Duration SHORTEST = Duration.ofMillis(500);
    private static final Duration LONGEST = Duration.ofMinutes(1);
    private static final double JITTER = 0.5;

    private RetryAfter() {}

    /** Returns the time for a wait. */
    public static Duration of(Duration wait, UniformRandomProvider random) {
        long nanos = Math.clamp(wait.toNanos(), SHORTEST.toNanos(), LONGEST.toNanos());
        return Duration.ofNanos((long) (nanos * (1 + JITTER * random.nextDouble())));
    }
}
