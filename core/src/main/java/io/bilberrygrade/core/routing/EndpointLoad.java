package io.bilberrygrade.core.routing;

import java.time.Instant;

/**
 * Load of an engine as last reported: prompt tokens that are queued, the part of them that runs at
 * short priority, running requests and free KV memory in tokens. {@code measuredAt} is the time of
 * measurement on this daemon's clock, already corrected by the report's age.
 */
public record EndpointLoad(
        long queuedTokens,
        long queuedShortTokens,
        int runningRequests,
        long freeTokens,
        Instant measuredAt) {}
