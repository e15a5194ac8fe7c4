package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import java.time.Duration;

/**
 * Engine chosen for a request. {@code predictedTimeToFirstToken} is measured from the decision;
 * {@code priority} is the engine priority, 0 being the most urgent; {@code backlog} is the
 * predicted time of the work that runs on the engine before the request.
 */
public record Placement(
        EndpointView endpoint,
        Duration predictedTimeToFirstToken,
        Duration backlog,
        Lane lane,
        int priority) {
    /** Engine priority of policies that don't distinguish requests. */
    public static final int SINGLE_PRIORITY = 1;

    /** Returns the placement by a policy that makes no predictions. */
    static Placement unpredicted(EndpointView endpoint) {
        return new Placement(endpoint, Duration.ZERO, Duration.ZERO, Lane.SHORT, SINGLE_PRIORITY);
    }
}
