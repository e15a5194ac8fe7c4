package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ClockReading;
import java.time.Instant;
import java.time.InstantSource;

/** The steady clock and the time-of-day clock of a machine. */
public record Clocks(InstantSource steady, InstantSource timeOfDay) {
    /** Returns a reading of both clocks. */
    public ClockReading read() {
        return new ClockReading(steady.instant(), timeOfDay.instant());
    }

    /** Returns the current time of the steady clock. */
    public Instant now() {
        return steady.instant();
    }
}
