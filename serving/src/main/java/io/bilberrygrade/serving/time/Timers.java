package io.bilberrygrade.serving.time;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Creates delays that complete on the daemon's event loop. */
public interface Timers {
    /**
     * Completes after the delay, or immediately if it isn't positive; cancellation stops the timer.
     */
    Uni<Void> after(Duration delay);
}
