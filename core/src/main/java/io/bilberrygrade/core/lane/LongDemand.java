package io.bilberrygrade.core.lane;

import java.time.Duration;
import java.time.Instant;

/**
 * Exponentially decaying average of the long-prompt tokens per second that arrive at this daemon.
 */
public record LongDemand(double tokensPerSecond, Instant at) {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(20);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the demand of a daemon that has received no long prompt yet. */
    public static LongDemand none(Instant now) {
        return new LongDemand(0, now);
    }

    /** Returns the demand after a long prompt arrived. */
    public LongDemand arrived(long tokens, Instant now) {
        double seconds = TIME_CONSTANT.toNanos() / NANOS_PER_SECOND;
        return new LongDemand(at(now).tokensPerSecond + tokens / seconds, now);
    }

    /** Returns the demand decayed to a later time. */
    public LongDemand at(Instant now) {
        double elapsed = Math.max(0, Duration.between(at, now).toNanos());
        return new LongDemand(tokensPerSecond * Math.exp(-elapsed / TIME_CONSTANT.toNanos()), now);
    }
}
