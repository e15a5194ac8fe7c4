package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether the requests of a rank are being late because there are too many. A rank becomes crowded
 * when its predicted wait exceeds its goal, and stays so until the wait is under a quarter of the
 * goal, so that a load that varies about the limit doesn't change the state back and forth.
 */
final class Crowding {
    private static final double LEAVE_FRACTION = 0.25;

    /** Period of the swings of the load; a rank that was crowded in it will be so again. */
    private static final Duration MEMORY = Duration.ofSeconds(10);

    private final Map<Rank, State> mStates = new HashMap<>();

    /** Returns the state of a rank after another prediction. */
    boolean update(Rank rank, double waitMillis, double goalMillis, Instant now) {
        State before = mStates.getOrDefault(rank, State.FREE);
        boolean crowded = waitMillis > goalMillis * (before.crowded() ? LEAVE_FRACTION : 1);
        mStates.put(rank, new State(crowded, crowded ? now : before.lastCrowdedAt()));
        return crowded;
    }

    boolean isCrowded(Rank rank) {
        return mStates.getOrDefault(rank, State.FREE).crowded();
    }

    /** Returns whether a rank is or was crowded lately. */
    boolean wasCrowdedLately(Rank rank, Instant now) {
        return mStates.getOrDefault(rank, State.FREE).lastCrowdedAt().isAfter(now.minus(MEMORY));
    }

    private record State(boolean crowded, Instant lastCrowdedAt) {
        private static final State FREE = new State(false, Instant.MIN);
    }
}
