package io.bilberrygrade.core.admission;

import java.time.Duration;

/**
 * What a request may expect if it is taken on now. {@code timeToFirstToken} counts from now; {@code
 * backlog} is the part of it that other work takes; {@code decode} is the time from the first token
 * to the last one.
 */
public record Forecast(Duration timeToFirstToken, Duration backlog, Duration decode) {
    /** Forecast while the engine's rate was never observed; refuses nothing for lack of time. */
    public static final Forecast UNKNOWN =
            new Forecast(Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /**
     * Returns the forecast when more urgent work takes the given part, from 0 to 1, of the engine
     * meanwhile.
     */
    public Forecast beside(double urgentPart) {
        double factor = 1 / (1 - urgentPart);
        return new Forecast(times(timeToFirstToken, factor), times(backlog, factor), decode);
    }

    /** Returns the time from now to the end of the answer. */
    public Duration total() {
        return timeToFirstToken.plus(decode);
    }

    /** Returns the time to first token on an engine without other work. */
    public Duration ownWork() {
        return timeToFirstToken.minus(backlog);
    }

    private static Duration times(Duration d, double factor) {
        return Duration.ofNanos((long) (d.toNanos() * factor));
    }
}
