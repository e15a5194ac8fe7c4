package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;

/**
 * Decides which prompts may use engines that state a rate limit. Such an engine counts requests,
 * not work, and each part of a split prompt is a request of its own, as are the orders that reserve
 * memory.
 */
final class RateLimitedEngines {
    private RateLimitedEngines() {}

    /**
     * Returns the candidates for a prompt. One whose memory has to be reserved uses engines without
     * a limit, or a single engine if there are no others.
     */
    static ImmutableList<Candidate> usable(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        if (need.strict() || !MemoryPlan.exceedsOneEngine(need.prompt(), cost)) {
            return candidates;
        }
        ImmutableList<Candidate> unlimited =
                candidates.stream()
                        .filter(c -> !c.rateLimited())
                        .collect(ImmutableList.toImmutableList());
        return unlimited.isEmpty()
                ? candidates.stream().limit(1).collect(ImmutableList.toImmutableList())
                : unlimited;
    }
}
