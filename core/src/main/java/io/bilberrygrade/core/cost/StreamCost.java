package io.bilberrygrade.core.cost;

import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;

/** Time until the first event of a stream by the published figures of its engine. */
public final class StreamCost {
    /**
     * Passes with the engine's present streams before the stream's own first one: half of the one
     * that runs at its arrival, and one in which its prompt is prefilled.
     */
    private static final double EARLIER_PASSES = 1.5;

    private StreamCost() {}

    /**
     * Returns the time in milliseconds from the start of the prefill; {@code prefillMillis} is that
     * of the engine's part of the prompt.
     */
    public static double firstEventMillis(
            EngineCost cost, EndpointWork work, long promptTokens, double prefillMillis) {
        int writers = Math.max(0, work.writers());
        long tokens = Math.max(0, work.tokens());
        return EARLIER_PASSES * cost.passMillis(writers, tokens)
                + prefillMillis
                + cost.passMillis(writers + 1, tokens + promptTokens);
    }
}
