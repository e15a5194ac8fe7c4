package io.bilberrygrade.core.admission;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Computes the time after which a refused caller may retry: the wait for the backlog, clamped to
 * bounds, plus random jitter of up to half of it, so that callers don't all retry at once.
 */
public final class RetryAfter {
    private static final Duration MIN_WAIT = Duration.ofMillis(500);
    private static final Duration MAX_WAIT = Duration.ofMinutes(1);
    private static final double MAX_JITTER_FRACTION = 0.5;

    private RetryAfter() {}

    /** Returns the retry time for a wait. */
    public static Duration of(Duration wait, UniformRandomProvider random) {
        long nanos = Math.clamp(wait.toNanos(), MIN_WAIT.toNanos(), MAX_WAIT.toNanos());
        return Duration.ofNanos((long) (nanos * (1 + MAX_JITTER_FRACTION * random.nextDouble())));
    }
}
