package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;

/**
 * One request of a workload: when it arrives, counted from the workload's start, who sends it, the
 * length of its prompt and of the prefix that it shares with others, and what its answer is worth.
 * {@code textOffset} says where the rest of its prompt is taken from.
 */
record Arrival(
        int index,
        Duration at,
        TeamId team,
        WorkClassId workClass,
        int tokens,
        int prefix,
        int prefixTokens,
        int textOffset,
        int answerTokens,
        Duration timeout,
        double worth) {}
