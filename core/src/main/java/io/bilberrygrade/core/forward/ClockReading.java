package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Reading of the steady clock and the time of day at one moment. The steady clock excludes time in
 * which the machine was suspended, and the time of day may be stepped; a duration is reliable only
 * if both clocks agree on it.
 */
public record ClockReading(Instant steady, Instant timeOfDay) {
    /** Returns the time elapsed since an earlier reading by the steady clock. */
    public Duration since(ClockReading earlier) {
        return Duration.between(earlier.steady, steady);
    }

    /** Returns this reading with both clocks moved back by the given duration. */
    public ClockReading minus(Duration duration) {
        return new ClockReading(steady.minus(duration), timeOfDay.minus(duration));
    }

    /**
     * Returns the absolute difference between the times that the two clocks measured since an
     * earlier reading.
     */
    public Duration drift(ClockReading earlier) {
        return Duration.between(earlier.timeOfDay, timeOfDay).minus(since(earlier)).abs();
    }
}
