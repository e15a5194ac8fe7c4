package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import java.time.Duration;

/**
 * Engine chosen for a request. {@code predictedTimeToFirstToken} counts from the decision; {@code
 * priority} is the engine priority, 0 the most urgent; {@code backlog} is the predicted time that
 * the engine needs for the work that runs before the request.
 */
public record Placement(
        EndpointView endpoint,
        Duration predictedTimeToFirstToken,
        Duration backlog,
        Lane lane,
        int priority) {
    /** Engine priority of policies that tell no request from another. */
    public static final int SINGLE_PRIORITY = 1;

    /** Returns the choice of a policy that predicts nothing. */
    static Placement unpredicted(EndpointView endpoint) {
        return new Placement(endpoint, Duration.ZERO, Duration.ZERO, Lane.SHORT, SINGLE_PRIORITY);
    }
}
