package io.bilberrygrade.core.routing;

import java.time.Duration;

/**
 * Prefill rate of an engine in tokens per second, learned from the times to first token of requests
 * that this daemon sent to it. The rate differs between engines and over time, and isn't published.
 */
public record PrefillRate(double tokensPerSecond, int observations) {
    /** Rate that is assumed while none of the engines has been observed. */
    public static final double DEFAULT_TOKENS_PER_SECOND = 20_000;

    private static final double MAX_WEIGHT = 0.4;
    private static final double HALF_WEIGHT_TOKENS = 8_192;
    private static final double MAX_CHANGE = 4;
    private static final int MIN_TOKENS = 512;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns a rate without observations. */
    public static PrefillRate prior(double tokensPerSecond) {
        return new PrefillRate(tokensPerSecond, 0);
    }

    /**
     * Returns the rate after a first token that came {@code elapsed} after the dispatch, with
     * {@code tokens} to prefill before it. Small prompts are weak evidence of the rate and get a
     * lower weight.
     */
    public PrefillRate observe(long tokens, Duration elapsed) {
        if (tokens < MIN_TOKENS || !elapsed.isPositive()) {
            return this;
        }
        double sample = tokens * NANOS_PER_SECOND / elapsed.toNanos();
        double bounded =
                Math.clamp(sample, tokensPerSecond / MAX_CHANGE, tokensPerSecond * MAX_CHANGE);
        double weight = MAX_WEIGHT * tokens / (tokens + HALF_WEIGHT_TOKENS);
        double rate = tokensPerSecond * Math.pow(bounded / tokensPerSecond, weight);
        return new PrefillRate(rate, observations + 1);
    }

    /** Returns the prefill time of a number of tokens. */
    public Duration timeFor(double tokens) {
        return Duration.ofNanos((long) (tokens / tokensPerSecond * NANOS_PER_SECOND));
    }
}
