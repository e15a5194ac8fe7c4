package io.bilberrygrade.serving.room;

import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import java.time.Duration;

/**
 * Times of silence after which an endpoint loses a request that may be retried elsewhere. They must
 * be shorter than the caller's own timeout, and long enough for a busy endpoint.
 */
public final class ResponseTimeouts {
    /** Callers abandon a stream after a gap of this many goals, pauses, or two seconds. */
    private static final int CALLER_GAP_GOALS = 4;

    private static final int CALLER_GAP_PAUSES = 8;
    private static final Duration MIN_CALLER_GAP = Duration.ofSeconds(2);

    /** Fraction of the caller's timeout that one endpoint may use up. */
    private static final double ENDPOINT_FRACTION = 0.5;

    /** Plain services answer within this many goals even when they are busy. */
    private static final int PLAIN_TIMEOUT_GOALS = 2;

    private ResponseTimeouts() {}

    /** Returns the longest silence before the first byte of an answer. */
    public static Duration firstByte(Route route) {
        return route.kind() == RouteKind.STREAMING
                ? endpointShare(callerGap(route))
                : route.goal().multipliedBy(PLAIN_TIMEOUT_GOALS);
    }

    /** Returns the longest silence between two events of a stream. */
    public static Duration betweenEvents(Route route) {
        return endpointShare(callerGap(route));
    }

    private static Duration callerGap(Route route) {
        Duration byGoal = route.goal().multipliedBy(CALLER_GAP_GOALS);
        Duration byPause = route.gapGoal().orElse(Duration.ZERO).multipliedBy(CALLER_GAP_PAUSES);
        return longer(longer(byGoal, byPause), MIN_CALLER_GAP);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Duration endpointShare(Duration span) {
        return Duration.ofMillis(Math.round(span.toMillis() * ENDPOINT_FRACTION));
    }
}
