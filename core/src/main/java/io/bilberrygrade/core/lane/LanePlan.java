package io.bilberrygrade.core.lane;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;

/**
 * Division of one model's requests into lanes: prompts that occupy an engine for longer than the
 * tightest class target are long. Long work runs on {@code longEngines} only; the set is empty when
 * long work isn't confined.
 */
public record LanePlan(
        Duration tightestTarget, double tokensPerSecond, ImmutableSet<EndpointId> longEngines) {
    private static final double URGENT_TARGET_FRACTION = 0.125;
    private static final int LOOSE_TARGET_RATIO = 4;
    private static final int FIRST_LONG_PRIORITY = 2;
    private static final int LAST_PRIORITY = 7;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the lane of a prompt of the given length in tokens. */
    public Lane lane(long tokens) {
        return prefillMillis(tokens) > tightestTarget.toMillis() ? Lane.LONG : Lane.SHORT;
    }

    /**
     * Returns the engine priority of a request; 0 is the most urgent. Short work has priority 0 if
     * its prefill takes a small part of the tightest target and its class target isn't loose,
     * otherwise 1. Long work follows all short work, ordered by class target.
     */
    public int priority(WorkClass workClass, long tokens) {
        long ratio =
                workClass.timeToFirstToken().toMillis() / Math.max(1, tightestTarget.toMillis());
        if (lane(tokens) == Lane.LONG) {
            int doublings = Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, ratio));
            return Math.min(LAST_PRIORITY, FIRST_LONG_PRIORITY + doublings);
        }
        boolean hasShortPrefill =
                prefillMillis(tokens) <= tightestTarget.toMillis() * URGENT_TARGET_FRACTION;
        return hasShortPrefill && ratio < LOOSE_TARGET_RATIO ? 0 : 1;
    }

    /** Returns whether an engine may take work of a lane. */
    public boolean allows(EndpointId engine, Lane lane) {
        return lane == Lane.SHORT || longEngines.isEmpty() || longEngines.contains(engine);
    }

    private double prefillMillis(long tokens) {
        return tokens * MILLIS_PER_SECOND / tokensPerSecond;
    }
}
