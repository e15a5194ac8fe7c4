package io.bilberrygrade.core.lane;

import java.time.Duration;
import java.time.Instant;

/**
 * Long prompt tokens a second that arrive at this daemon, as an average that forgets with a time
 * constant.
 */
public record LongDemand(double tokensPerSecond, Instant at) {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(20);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the demand of a daemon that has seen nothing yet. */
    public static LongDemand none(Instant now) {
        return new LongDemand(0, now);
    }

    /** Returns the demand after a long prompt arrived. */
    public LongDemand arrived(long tokens, Instant now) {
        double seconds = TIME_CONSTANT.toNanos() / NANOS_PER_SECOND;
        return new LongDemand(at(now).tokensPerSecond + tokens / seconds, now);
    }

    /** Returns the demand at a later time. */
    public LongDemand at(Instant now) {
        double elapsed = Math.max(0, Duration.between(at, now).toNanos());
        return new LongDemand(tokensPerSecond * Math.exp(-elapsed / TIME_CONSTANT.toNanos()), now);
    }
}
