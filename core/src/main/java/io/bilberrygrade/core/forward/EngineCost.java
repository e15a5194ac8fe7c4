package io.bilberrygrade.core.forward;

/**
 * Published cost model of a model engine, from which its latencies are predicted. An engine works
 * in passes: each pass runs several decode steps for its streams and prefills at most one chunk of
 * prompts a step.
 *
 * @param slots requests that run concurrently
 * @param memoryTokens capacity of the engine's memory in tokens
 * @param stride steps of a pass while any stream decodes
 * @param stepMillis time of a step
 * @param writerMillis additional time of a step for each decoding stream
 * @param contextMillisPerThousand additional time of a step for each thousand tokens of the
 *     streams' context
 * @param readTokensPerMillis prompt tokens that are prefilled per millisecond
 * @param pairMillisPerMillion prefill time for a million pairs of a token with an earlier one
 *     (attention)
 * @param chunkTokens maximum number of prompt tokens that are prefilled in a step
 */
public record EngineCost(
        int slots,
        long memoryTokens,
        int stride,
        double stepMillis,
        double writerMillis,
        double contextMillisPerThousand,
        double readTokensPerMillis,
        double pairMillisPerMillion,
        int chunkTokens) {
    private static final double PAIRS_UNIT = 1e6;
    private static final double CONTEXT_UNIT = 1e3;

    /** Returns the time in milliseconds to prefill a prompt of the given length on one engine. */
    public double readMillis(long tokens) {
        double pairs = tokens / 2.0 * tokens;
        return tokens / readTokensPerMillis + pairs / PAIRS_UNIT * pairMillisPerMillion;
    }

    /** Returns the time in milliseconds of a pass without prefill. */
    public double passMillis(int writers, long contextTokens) {
        if (writers == 0) {
            return stepMillis;
        }
        double step =
                stepMillis
                        + writers * writerMillis
                        + contextTokens / CONTEXT_UNIT * contextMillisPerThousand;
        return stride * step;
    }
}
