package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;

/**
 * Leaves out endpoints that accept no more connections, since each request has a connection of its
 * own and one beyond an endpoint's bound is reset, which costs one of the request's sendings.
 */
public final class ConnectionBound {
    private ConnectionBound() {}

    /** Returns the endpoints to which the known daemons have less open than they accept. */
    public static ImmutableList<Candidate> open(
            ForwardService service, ImmutableList<Candidate> candidates) {
        return candidates.stream()
                .filter(c -> c.work().calls() < service.maxConnections())
                .collect(ImmutableList.toImmutableList());
    }
}
