package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;

/**
 * Decides whether a prompt that a single engine can't prefill within its time goal is rejected
 * immediately. Prefill time grows with the square of the prompt length, so at peak load a few of
 * the longest prompts delay all others for ten seconds and miss their own goal as well. A long
 * prompt is therefore admitted only while the engines without strict streams can together prefill
 * it, after their queued prompts, within its goal.
 */
public final class LongPromptAdmission {
    /**
     * Fraction of the goal available for prefill; the rest covers passes, queueing and the network.
     */
    private static final double MAX_PREFILL_FRACTION = 0.6;

    private LongPromptAdmission() {}

    /** Returns whether the admission check applies to a prompt at all, whatever the load. */
    public static boolean appliesTo(StreamNeed need, EngineCost cost) {
        return !need.strict()
                && cost.readMillis(need.prompt().promptTokens()) > need.goal().toMillis();
    }

    /** Returns whether the prompt is rejected. */
    public static boolean rejects(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        if (!appliesTo(need, cost)) {
            return false;
        }
        double promptMillis = cost.readMillis(need.prompt().promptTokens());
        long freeEngines = candidates.stream().filter(c -> c.work().strictCalls() == 0).count();
        double queuedMillis =
                candidates.stream()
                        .filter(c -> c.work().strictCalls() == 0)
                        .mapToLong(c -> c.work().readMillis())
                        .sum();
        return (queuedMillis + promptMillis) / Math.max(1, freeEngines)
                > need.goal().toMillis() * MAX_PREFILL_FRACTION;
    }
}
