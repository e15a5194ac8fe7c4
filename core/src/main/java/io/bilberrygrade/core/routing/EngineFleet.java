package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.config.Endpoint;
import java.time.Instant;

/**
 * Engines of one model as seen by a daemon. Views are created one by one, so that a decision costs
 * time only for the engines that it considers.
 */
public interface EngineFleet {
    /** Returns the current division of the engines between lanes. */
    FleetLayout layout();

    /** Returns the index of the prefixes that the engines are assumed to have cached. */
    PrefixIndex prefixes();

    /** Returns the daemon's current view of one of the engines. */
    EndpointView view(Endpoint engine, Instant now);
}
