package io.bilberrygrade.serving.timer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Lets time pass. */
public interface Timers {
    /** Completes once the delay has passed; cancelling the subscription ends the timer. */
    Uni<Void> after(Duration delay);
}
