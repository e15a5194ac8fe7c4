package io.bilberrygrade.core.share;

import java.time.Duration;
import java.time.Instant;

/**
 * Rate in tokens a second over about the last ten seconds; what is older counts exponentially less.
 */
public record TokenRate(double weightedTokens, Instant at) {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Returns the rate of work that has not begun. */
    public static TokenRate none(Instant now) {
        return new TokenRate(0, now);
    }

    /** Returns the rate after more tokens were asked for. */
    public TokenRate plus(long tokens, Instant now) {
        return new TokenRate(decayed(now) + tokens, now);
    }

    /** Returns the rate in tokens a second. */
    public double tokensPerSecond(Instant now) {
        return decayed(now) / WINDOW.toSeconds();
    }

    private double decayed(Instant now) {
        double age = Math.max(0, Duration.between(at, now).toNanos());
        return weightedTokens * Math.exp(-age / WINDOW.toNanos());
    }
}
