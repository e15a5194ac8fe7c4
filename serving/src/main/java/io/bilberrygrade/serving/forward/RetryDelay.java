package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Reason;
import java.time.Duration;

/** When a refused caller should come back, spread so that callers don't come back together. */
final class RetryDelay {
    /** Another instance can serve the request at once. */
    private static final Duration ELSEWHERE = Duration.ofMillis(30);

    /** Room on endpoints frees up as requests end, each some hundred ms to seconds long. */
    private static final Duration FOR_ROOM = Duration.ofMillis(250);

    /** Long prompts that were sent are read within some seconds. */
    private static final Duration FOR_PEAK = Duration.ofMillis(2_500);

    private RetryDelay() {}

    /** Returns the delay; {@code draw} is uniform in [0, 1). */
    static Duration of(Reason reason, double draw) {
        Duration least =
                switch (reason) {
                    case DRAINING, CONFIGURATION_STALE, NOT_READY -> ELSEWHERE;
                    case OVERLOADED -> FOR_PEAK;
                    default -> FOR_ROOM;
                };
        return spread(least, draw);
    }

    /** Returns a delay of at least the given time; {@code draw} is uniform in [0, 1). */
    static Duration spread(Duration least, double draw) {
        return least.plusMillis(Math.round(draw * least.toMillis()));
    }
}
