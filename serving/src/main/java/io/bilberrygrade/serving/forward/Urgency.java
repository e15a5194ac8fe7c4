package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.Route;
import java.time.Duration;

/**
 * Computes the priority of a request in an engine's queue from the route's latency goal: the
 * shorter, the more urgent.
 */
final class Urgency {
    private static final int MOST_URGENT = 2;
    private static final int NORMAL = 5;
    private static final Duration URGENT_GOAL = Duration.ofMillis(500);

    private Urgency() {}

    static int of(Route route) {
        return route.goal().compareTo(URGENT_GOAL) <= 0 ? MOST_URGENT : NORMAL;
    }
}
