package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;

/**
 * Decides which engines hold a part of a prompt that one engine's memory can't hold. Their memory
 * is reserved before the prompt is sent; the first engine holds what is left.
 */
public final class MemoryPlan {
    /**
     * Part of an engine's memory that one prompt may fill without help. The rest is for those that
     * write beside it, whose answers would be pre-empted.
     */
    private static final double MOST_OF_ONE_ENGINE = 0.85;

    /** Part of an engine's memory that a prompt takes on each engine once it is divided. */
    private static final double PART_OF_EACH_ENGINE = 0.6;

    private MemoryPlan() {}

    /** Returns the tokens to reserve on each helper; none if the first engine holds it all. */
    public static ImmutableMap<EndpointId, Long> reservations(
            PromptShape prompt, EngineCost cost, ImmutableList<Candidate> helpers) {
        if (!exceedsOneEngine(prompt, cost)) {
            return ImmutableMap.of();
        }
        long tokens = tokens(prompt);
        int engines = (int) Math.ceil(tokens / (cost.memoryTokens() * PART_OF_EACH_ENGINE));
        long part = (tokens + engines - 1) / engines;
        return helpers.stream()
                .sorted(Comparator.comparingLong((Candidate c) -> c.work().tokens()))
                .limit(engines - 1L)
                .collect(ImmutableMap.toImmutableMap(c -> c.endpoint().id(), c -> part));
    }

    /** Returns whether a prompt is too long for the memory of one engine. */
    private static boolean exceedsOneEngine(PromptShape prompt, EngineCost cost) {
        return tokens(prompt) > cost.memoryTokens() * MOST_OF_ONE_ENGINE;
    }

    private static long tokens(PromptShape prompt) {
        return prompt.promptTokens() + prompt.maxAnswerTokens();
    }
}
