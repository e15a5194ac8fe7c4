package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;

/**
 * Decides whether a prompt that one engine can't read within its goal is turned away at once. Load
 * pattern: reading grows with the square of the length, so that at a peak a few of the longest
 * prompts make all others late for ten seconds and come late themselves. So one is taken only while
 * the engines without questions can read it together, after what waits there, within its goal.
 */
public final class LongPromptAdmission {
    /** Part of the goal that reading may use; the rest is for passes, waits and the way. */
    private static final double READING_PART_OF_GOAL = 0.6;

    private LongPromptAdmission() {}

    /** Returns whether a prompt may be turned away at all, whatever the engines have to do. */
    public static boolean concerns(StreamNeed need, EngineCost cost) {
        return !need.strict()
                && cost.readMillis(need.prompt().promptTokens()) > need.goal().toMillis();
    }

    /** Returns whether the prompt is turned away. */
    public static boolean refuses(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        if (!concerns(need, cost)) {
            return false;
        }
        double own = cost.readMillis(need.prompt().promptTokens());
        long free = candidates.stream().filter(c -> c.work().strictCalls() == 0).count();
        double waiting =
                candidates.stream()
                        .filter(c -> c.work().strictCalls() == 0)
                        .mapToLong(c -> c.work().readMillis())
                        .sum();
        return (waiting + own) / Math.max(1, free) > need.goal().toMillis() * READING_PART_OF_GOAL;
    }
}
