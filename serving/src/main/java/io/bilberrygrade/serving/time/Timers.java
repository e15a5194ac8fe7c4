package io.bilberrygrade.serving.time;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Source of delays, which complete on the daemon's event loop. */
public interface Timers {
    /** Completes after the delay, at once when it isn't positive; cancelling ends the timer. */
    Uni<Void> after(Duration delay);
}
