package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.config.Endpoint;
import java.time.Instant;

/**
 * Engines of one model as a daemon sees them. Views are made one by one, so that a decision pays
 * only for the engines that it looks at.
 */
public interface EngineFleet {
    /** Returns how the engines are divided now. */
    FleetLayout layout();

    /** Returns which prefixes engines are believed to have cached. */
    PrefixIndex prefixes();

    /** Returns what the daemon knows of one of the engines. */
    EndpointView view(Endpoint engine, Instant now);
}
