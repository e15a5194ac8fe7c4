package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.config.Endpoint;
import java.util.Optional;

/** What a daemon knows of one endpoint when it places a request. */
public record EndpointView(
        Endpoint endpoint,
        Optional<EndpointLoad> load,
        int ownRequests,
        long ownQueuedTokens,
        boolean available) {}
