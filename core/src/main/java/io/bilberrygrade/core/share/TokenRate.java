package io.bilberrygrade.core.share;

import java.time.Duration;
import java.time.Instant;

/** Rate in tokens per second that decays exponentially with a time constant of ten seconds. */
public record TokenRate(double weightedTokens, Instant at) {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(10);

    /** Returns a rate of zero. */
    public static TokenRate none(Instant now) {
        return new TokenRate(0, now);
    }

    /** Returns the rate after more tokens were requested. */
    public TokenRate plus(long tokens, Instant now) {
        return new TokenRate(decayed(now) + tokens, now);
    }

    /** Returns the rate in tokens per second. */
    public double tokensPerSecond(Instant now) {
        return decayed(now) / TIME_CONSTANT.toSeconds();
    }

    private double decayed(Instant now) {
        double age = Math.max(0, Duration.between(at, now).toNanos());
        return weightedTokens * Math.exp(-age / TIME_CONSTANT.toNanos());
    }
}
