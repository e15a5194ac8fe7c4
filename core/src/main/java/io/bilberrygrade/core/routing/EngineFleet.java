package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import java.time.Instant;

/**
 * Engines of one model as a daemon sees them. Views are made one by one, so that a decision pays
 * only for the engines that it looks at.
 */
public interface EngineFleet {
    /** Returns the engines in an order that is the same on all daemons. */
    ImmutableList<Endpoint> engines();

    /** Returns what the daemon knows of one of the engines. */
    EndpointView view(Endpoint engine, Instant now);
}
