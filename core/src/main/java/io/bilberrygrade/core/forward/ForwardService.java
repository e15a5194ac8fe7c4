package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.ColdTraits;
import java.util.Optional;

/**
 * Published service, a group of endpoints that serve the same requests.
 *
 * @param maxConnections maximum number of connections that one of its endpoints accepts from all
 *     callers
 * @param engine cost model of its model engines; empty for a plain service
 * @param cold what it states about endpoints that have just started
 */
public record ForwardService(
        ServiceId id, int maxConnections, Optional<EngineCost> engine, ColdTraits cold) {
    /** Creates a service whose endpoints are never cold. */
    public ForwardService(ServiceId id, int maxConnections, Optional<EngineCost> engine) {
        this(id, maxConnections, engine, ColdTraits.NONE);
    }
}
