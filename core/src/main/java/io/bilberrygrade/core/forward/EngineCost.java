package io.bilberrygrade.core.forward;

/**
 * Published cost of a model engine, from which its times are predicted. An engine works in passes:
 * each runs a number of steps for those that write, and reads at most a chunk of prompts a step.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that the engine's memory holds
 * @param stride steps of a pass in which somebody writes
 * @param stepMillis time of a step
 * @param writerMillis further time of a step for each request that writes
 * @param contextMillisPerThousand further time of a step for each thousand tokens of their context
 * @param readTokensPerMillis prompt tokens that are read in a millisecond
 * @param pairMillisPerMillion time for a million pairs of a token with an earlier one
 * @param chunkTokens most prompt tokens that are read in a step
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

    /** Returns the time in milliseconds to read a prompt of the given length on one engine. */
    public double readMillis(long tokens) {
        double pairs = tokens / 2.0 * tokens;
        return tokens / readTokensPerMillis + pairs / PAIRS_UNIT * pairMillisPerMillion;
    }

    /** Returns the time in milliseconds of a pass without reading. */
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
