package io.bilberrygrade.serving.peer;

import java.time.Duration;

/**
 * Ages in peers' messages. Clocks of daemons differ, so messages carry ages; they are bounded where
 * they are decoded, so that all that is computed from them can be encoded again.
 */
public final class StatedAge {
    /** Longer than anything that daemons tell each other is of use. */
    private static final Duration MAX = Duration.ofDays(365);

    private StatedAge() {}

    /** Returns the age that a peer stated in milliseconds, at least zero and at most a year. */
    public static Duration ofMillis(long millis) {
        return Duration.ofMillis(Math.clamp(millis, 0, MAX.toMillis()));
    }
}
