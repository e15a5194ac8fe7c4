package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;

/**
 * One request of a workload.
 *
 * @param at arrival time, relative to the workload's start
 * @param tokens length of the prompt, which includes its prefix
 * @param prefix index of the prefix that the prompt shares with others
 * @param textOffset offset of the rest of the prompt in the pool's text
 * @param worth worth of an answer in time
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
