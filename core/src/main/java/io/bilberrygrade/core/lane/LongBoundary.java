package io.bilberrygrade.core.lane;

import java.time.Duration;
import java.time.Instant;

/**
 * Number of engines that long work is confined to. It grows at once when demand asks for it and
 * shrinks one by one, after a pause and with slack, so that it doesn't swing.
 */
public record LongBoundary(int engines, Instant changedAt) {
    private static final double USE_OF_LONG_ENGINES = 0.4;
    private static final double SHRINK_BELOW = 0.75;
    private static final Duration SHRINK_PAUSE = Duration.ofSeconds(10);

    /** Returns the boundary before any demand was seen. */
    public static LongBoundary initial(Instant now) {
        return new LongBoundary(1, now);
    }

    /**
     * Returns the boundary for a demand.
     *
     * @param demand long tokens a second that arrive at all daemons
     * @param tokensPerSecond prefill rate of one engine
     * @param most engines that long work may take, of which some may be lent by other classes
     */
    public LongBoundary next(double demand, double tokensPerSecond, int most, Instant now) {
        int needed = engines(demand, tokensPerSecond, most);
        if (needed > engines) {
            return new LongBoundary(needed, now);
        }
        if (engines > most) {
            return new LongBoundary(most, now);
        }
        boolean rested = !now.isBefore(changedAt.plus(SHRINK_PAUSE));
        boolean slack = engines(demand / SHRINK_BELOW, tokensPerSecond, most) < engines;
        return rested && slack ? new LongBoundary(engines - 1, now) : this;
    }

    private static int engines(double demand, double tokensPerSecond, int most) {
        double needed = Math.ceil(demand / (tokensPerSecond * USE_OF_LONG_ENGINES));
        return (int) Math.clamp(needed, 1, Math.max(1, most));
    }
}
