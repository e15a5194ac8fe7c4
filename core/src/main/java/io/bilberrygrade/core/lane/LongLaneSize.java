package io.bilberrygrade.core.lane;

import java.time.Duration;
import java.time.Instant;

/**
 * Number of engines to which long work is confined. It grows with demand at once and shrinks by one
 * at a time, after a pause and only with slack, so that it doesn't oscillate.
 */
public record LongLaneSize(int engines, Instant changedAt) {
    private static final double TARGET_UTILISATION = 0.4;
    private static final double SHRINK_DEMAND_RATIO = 0.75;
    private static final Duration SHRINK_PAUSE = Duration.ofSeconds(10);

    /** Returns the size before any demand is known. */
    public static LongLaneSize initial(Instant now) {
        return new LongLaneSize(1, now);
    }

    /**
     * Returns the size for a demand.
     *
     * @param demand long-prompt tokens per second that arrive at all daemons
     * @param tokensPerSecond prefill rate of one engine
     * @param maxEngines most engines that long work may use, including any lent by other classes
     */
    public LongLaneSize next(double demand, double tokensPerSecond, int maxEngines, Instant now) {
        int needed = neededEngines(demand, tokensPerSecond, maxEngines);
        if (needed > engines) {
            return new LongLaneSize(needed, now);
        }
        if (engines > maxEngines) {
            return new LongLaneSize(maxEngines, now);
        }
        boolean pauseElapsed = !now.isBefore(changedAt.plus(SHRINK_PAUSE));
        boolean hasSlack =
                neededEngines(demand / SHRINK_DEMAND_RATIO, tokensPerSecond, maxEngines) < engines;
        return pauseElapsed && hasSlack ? new LongLaneSize(engines - 1, now) : this;
    }

    private static int neededEngines(double demand, double tokensPerSecond, int maxEngines) {
        double needed = Math.ceil(demand / (tokensPerSecond * TARGET_UTILISATION));
        return (int) Math.clamp(needed, 1, Math.max(1, maxEngines));
    }
}
