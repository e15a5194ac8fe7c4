package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;

/**
 * Filters out endpoints that have reached their connection limit. Each request uses a connection of
 * its own; an endpoint resets connections beyond its limit, which costs the request one of its
 * attempts.
 */
public final class ConnectionBound {
    private ConnectionBound() {}

    /**
     * Returns the endpoints to which all known daemons together have fewer open connections than
     * the service's limit.
     */
    public static ImmutableList<Candidate> open(
            ForwardService service, ImmutableList<Candidate> candidates) {
        return candidates.stream()
                .filter(c -> c.work().calls() < service.maxConnections())
                .collect(ImmutableList.toImmutableList());
    }
}
