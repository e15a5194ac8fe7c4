package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;

/**
 * Decides which engines hold part of a prompt that exceeds one engine's memory. Their memory is
 * reserved before the prompt is sent; the first engine holds the remainder.
 */
public final class MemoryPlan {
    /**
     * Fraction of an engine's memory that a single prompt may use without helpers. The rest is left
     * to the streams that are decoded concurrently, which would otherwise be pre-empted.
     */
    private static final double MAX_UNSPLIT_FRACTION = 0.85;

    /** Fraction of each engine's memory that a prompt uses once it is split. */
    private static final double SPLIT_FRACTION = 0.6;

    private MemoryPlan() {}

    /**
     * Returns the tokens to reserve on each helper; empty if the first engine can hold the whole
     * prompt.
     */
    public static ImmutableMap<EndpointId, Long> reservations(
            PromptShape prompt, EngineCost cost, ImmutableList<Candidate> helpers) {
        if (!exceedsOneEngine(prompt, cost)) {
            return ImmutableMap.of();
        }
        long tokens = tokens(prompt);
        int engines = (int) Math.ceil(tokens / (cost.memoryTokens() * SPLIT_FRACTION));
        long part = (tokens + engines - 1) / engines;
        return helpers.stream()
                .sorted(Comparator.comparingLong((Candidate c) -> c.work().tokens()))
                .limit(engines - 1L)
                .collect(ImmutableMap.toImmutableMap(c -> c.endpoint().id(), c -> part));
    }

    /** Returns whether a prompt exceeds the memory of one engine. */
    static boolean exceedsOneEngine(PromptShape prompt, EngineCost cost) {
        return tokens(prompt) > cost.memoryTokens() * MAX_UNSPLIT_FRACTION;
    }

    private static long tokens(PromptShape prompt) {
        return prompt.promptTokens() + prompt.maxAnswerTokens();
    }
}
