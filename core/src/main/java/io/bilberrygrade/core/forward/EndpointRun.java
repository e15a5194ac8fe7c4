package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.EndpointId;

/**
 * Incarnation of an endpoint, which may restart under the same id.
 *
 * @param startedAtMillis Unix time of its start in milliseconds; 0 if it doesn't report one
 */
public record EndpointRun(EndpointId id, long startedAtMillis) {}
