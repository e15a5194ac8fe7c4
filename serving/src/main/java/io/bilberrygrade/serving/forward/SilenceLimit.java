package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import java.time.Duration;

/**
 * How long an endpoint may stay silent before a request that may be repeated is taken elsewhere. It
 * must be over before the caller's own patience is, and long enough for a busy endpoint.
 */
final class SilenceLimit {
    /** Callers leave a stream after a gap of this many goals, pauses, or two seconds. */
    private static final int CALLER_GOALS = 4;

    private static final int CALLER_PAUSES = 8;
    private static final Duration CALLER_LEAST = Duration.ofSeconds(2);

    /** Part of the caller's patience that one endpoint may use up. */
    private static final double ENDPOINT_PART = 0.5;

    /** Plain services answer within some goals even when they are busy. */
    private static final int PLAIN_GOALS = 2;

    private SilenceLimit() {}

    /** Returns the longest silence before the first byte of an answer. */
    static Duration firstByte(Route route) {
        return route.kind() == RouteKind.STREAMING
                ? part(gap(route))
                : route.goal().multipliedBy(PLAIN_GOALS);
    }

    /** Returns the longest silence between two events of a stream. */
    static Duration betweenEvents(Route route) {
        return part(gap(route));
    }

    private static Duration gap(Route route) {
        Duration byGoal = route.goal().multipliedBy(CALLER_GOALS);
        Duration byPause = route.pauseGoal().orElse(Duration.ZERO).multipliedBy(CALLER_PAUSES);
        return longer(longer(byGoal, byPause), CALLER_LEAST);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Duration part(Duration span) {
        return Duration.ofMillis(Math.round(span.toMillis() * ENDPOINT_PART));
    }
}
