package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Reason;
import java.time.Duration;

/**
 * Computes the {@code Retry-After} of refusals, spread so that callers don't return at the same
 * time.
 */
final class RetryDelay {
    /** Delay if another instance can serve the request immediately. */
    private static final Duration OTHER_INSTANCE_DELAY = Duration.ofMillis(30);

    /**
     * Delay for lack of capacity, which is freed as requests end, each after some hundred ms to
     * seconds.
     */
    private static final Duration CAPACITY_DELAY = Duration.ofMillis(250);

    /** Delay under overload; the long prompts in flight are read within some seconds. */
    private static final Duration OVERLOAD_DELAY = Duration.ofMillis(2_500);

    private RetryDelay() {}

    /** Returns the delay; {@code draw} is uniform in [0, 1). */
    static Duration of(Reason reason, double draw) {
        Duration min =
                switch (reason) {
                    case DRAINING, CONFIGURATION_STALE, NOT_READY -> OTHER_INSTANCE_DELAY;
                    case OVERLOADED -> OVERLOAD_DELAY;
                    default -> CAPACITY_DELAY;
                };
        return spread(min, draw);
    }

    /**
     * Returns a delay of at least {@code min} and at most twice that; {@code draw} is uniform in
     * [0, 1).
     */
    static Duration spread(Duration min, double draw) {
        return min.plusMillis(Math.round(draw * min.toMillis()));
    }
}
