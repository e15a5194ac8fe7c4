package io.bilberrygrade.core.admission;

import java.time.Duration;

/**
 * Predicted times of a request that is admitted now. {@code timeToFirstToken} counts from now;
 * {@code backlog} is the part of it that is spent on other work; {@code decode} is the time from
 * the first token to the last one.
 */
public record Forecast(Duration timeToFirstToken, Duration backlog, Duration decode) {
    /**
     * Forecast for an engine whose rate was never observed; it causes no refusal for lack of time.
     */
    public static final Forecast UNKNOWN =
            new Forecast(Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /**
     * Returns the forecast with more urgent work taking the given fraction, from 0 to 1, of the
     * engine in the meantime.
     */
    public Forecast withUrgentLoad(double urgentFraction) {
        double factor = 1 / (1 - urgentFraction);
        return new Forecast(times(timeToFirstToken, factor), times(backlog, factor), decode);
    }

    /** Returns the time from now to the end of the answer. */
    public Duration total() {
        return timeToFirstToken.plus(decode);
    }

    /** Returns the time to first token on an engine without other work. */
    public Duration timeToFirstTokenWhenIdle() {
        return timeToFirstToken.minus(backlog);
    }

    private static Duration times(Duration d, double factor) {
        return Duration.ofNanos((long) (d.toNanos() * factor));
    }
}
