package io.bilberrygrade.core.routing;

import java.time.Instant;

/**
 * Last reported load of an engine: queued prompt tokens, the part of them at short priority,
 * running requests and free KV memory in tokens. {@code measuredAt} is the time of the measurement
 * on this daemon's clock, corrected by the age of the report.
 */
public record EndpointLoad(
        long queuedTokens,
        long queuedShortTokens,
        int runningRequests,
        long freeTokens,
        Instant measuredAt) {}
