package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Both clocks at one moment. The steady clock doesn't count time for which the machine was
 * suspended, and the time of day may be stepped; only where both agree is a span certain.
 */
public record ClockReading(Instant steady, Instant timeOfDay) {
    /** Returns the time since an earlier reading by the steady clock. */
    public Duration since(ClockReading earlier) {
        return Duration.between(earlier.steady, steady);
    }

    /** Returns the reading that both clocks would have shown the given time earlier. */
    public ClockReading minus(Duration span) {
        return new ClockReading(steady.minus(span), timeOfDay.minus(span));
    }

    /** Returns by how much the clocks have moved apart since an earlier reading. */
    public Duration drift(ClockReading earlier) {
        return Duration.between(earlier.timeOfDay, timeOfDay).minus(since(earlier)).abs();
    }
}
