package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.config.Endpoint;

/**
 * A daemon's estimate of the state of one endpoint when it places a request. {@code freeTokens} is
 * the KV memory that is assumed to be free; {@code runningRequests} are those of all daemons,
 * {@code ownRequests} those of this one.
 */
public record EndpointView(
        Endpoint endpoint,
        boolean available,
        Backlog backlog,
        PrefillRate rate,
        long freeTokens,
        int runningRequests,
        int ownRequests) {}
