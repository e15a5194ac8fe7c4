package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.EndpointId;

/**
 * One start of an endpoint, which may start again under the same id.
 *
 * @param startedAtMillis Unix time of its start; 0 if it says none
 */
public record EndpointRun(EndpointId id, long startedAtMillis) {}
