package io.bilberrygrade.core.routing;

import java.time.Duration;

/**
 * Prefill rate of an engine in tokens a second, learned from the times to first token of requests
 * that this daemon sent there. Engines differ and slow down, and nobody publishes their speed.
 */
public record PrefillRate(double tokensPerSecond, int observations) {
    /** Rate that is taken for granted when nothing was ever observed of any engine. */
    public static final double DEFAULT_TOKENS_PER_SECOND = 20_000;

    private static final double MAX_WEIGHT = 0.4;
    private static final double HALF_WEIGHT_TOKENS = 8_192;
    private static final double MAX_CHANGE = 4;
    private static final int MIN_TOKENS = 512;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns a rate of which nothing was observed yet. */
    public static PrefillRate prior(double tokensPerSecond) {
        return new PrefillRate(tokensPerSecond, 0);
    }

    /**
     * Returns the rate after a first token came {@code took} after the dispatch, with {@code
     * tokens} to prefill before it. Small prompts say little about the rate and count less.
     */
    public PrefillRate observe(long tokens, Duration took) {
        if (tokens < MIN_TOKENS || !took.isPositive()) {
            return this;
        }
        double sample = tokens * NANOS_PER_SECOND / took.toNanos();
        double bounded =
                Math.clamp(sample, tokensPerSecond / MAX_CHANGE, tokensPerSecond * MAX_CHANGE);
        double weight = MAX_WEIGHT * tokens / (tokens + HALF_WEIGHT_TOKENS);
        double rate = tokensPerSecond * Math.pow(bounded / tokensPerSecond, weight);
        return new PrefillRate(rate, observations + 1);
    }

    /** Returns the time that a number of tokens takes. */
    public Duration timeFor(double tokens) {
        return Duration.ofNanos((long) (tokens / tokensPerSecond * NANOS_PER_SECOND));
    }
}
