package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.ServiceId;
import java.util.Optional;

/**
 * Published service, a group of endpoints that serve the same requests.
 *
 * @param maxConnections maximum number of connections that one of its endpoints accepts from all
 *     callers
 * @param engine cost model of its model engines; empty for a plain service
 */
public record ForwardService(ServiceId id, int maxConnections, Optional<EngineCost> engine) {}
