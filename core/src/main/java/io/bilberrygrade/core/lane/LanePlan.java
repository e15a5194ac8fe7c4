package io.bilberrygrade.core.lane;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;

/**
 * How requests of one model are divided into lanes: prompts that keep an engine busy for longer
 * than the tightest class target are long. Long work runs on {@code longEngines} only; the set is
 * empty when long work isn't confined.
 */
public record LanePlan(
        Duration tightestTarget, double tokensPerSecond, ImmutableSet<EndpointId> longEngines) {
    private static final double URGENT_PART_OF_TARGET = 0.125;
    private static final int LOOSE_FACTOR = 4;
    private static final int FIRST_LONG_PRIORITY = 2;
    private static final int LAST_PRIORITY = 7;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the lane of a prompt of the given length in tokens. */
    public Lane lane(long tokens) {
        return prefillMillis(tokens) > tightestTarget.toMillis() ? Lane.LONG : Lane.SHORT;
    }

    /**
     * Returns the engine priority of a request, 0 the most urgent. Short work has 0 or 1: 0 if its
     * prefill takes little of the tightest target and its class isn't a loose one. Long work comes
     * after all short work, in the order of its class targets.
     */
    public int priority(WorkClass workClass, long tokens) {
        long ratio =
                workClass.timeToFirstToken().toMillis() / Math.max(1, tightestTarget.toMillis());
        if (lane(tokens) == Lane.LONG) {
            int doublings = Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, ratio));
            return Math.min(LAST_PRIORITY, FIRST_LONG_PRIORITY + doublings);
        }
        boolean small = prefillMillis(tokens) <= tightestTarget.toMillis() * URGENT_PART_OF_TARGET;
        return small && ratio < LOOSE_FACTOR ? 0 : 1;
    }

    /** Returns whether an engine may take work of a lane. */
    public boolean allows(EndpointId engine, Lane lane) {
        return lane == Lane.SHORT || longEngines.isEmpty() || longEngines.contains(engine);
    }

    private double prefillMillis(long tokens) {
        return tokens * MILLIS_PER_SECOND / tokensPerSecond;
    }
}
