package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.room.FleetTraits;
import java.time.Duration;

/**
 * Computes the priority of a request in an engine's queue from the route's latency goal: the
 * shorter, the more urgent. Under contention the request's rank comes first, and the goal decides
 * within a rank.
 */
final class Urgency {
    private static final int MOST_URGENT = 2;
    private static final int NORMAL = 5;

    /** Classes of each rank; engines have ten, so that the fifth rank and all below share two. */
    private static final int CLASSES_PER_RANK = 2;

    private static final int LOWEST_RANK = 4;
    private static final Duration URGENT_GOAL = Duration.ofMillis(500);

    private Urgency() {}

    static int of(Route route, Rank rank, FleetTraits traits) {
        boolean urgent = isUrgent(route);
        if (!traits.any()) {
            return urgent ? MOST_URGENT : NORMAL;
        }
        return CLASSES_PER_RANK * Math.min(rank.level(), LOWEST_RANK) + (urgent ? 0 : 1);
    }

    private static boolean isUrgent(Route route) {
        return route.goal().compareTo(URGENT_GOAL) <= 0;
    }
}
