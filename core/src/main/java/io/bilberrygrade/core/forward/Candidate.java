package io.bilberrygrade.core.forward;

/**
 * Endpoint that is eligible for a request, with its outstanding work.
 *
 * @param rateLimited whether it states a rate limit; it is eligible for one request only then
 */
public record Candidate(RegisteredEndpoint endpoint, EndpointWork work, boolean rateLimited) {
    /** Returns a candidate without a rate limit. */
    public Candidate(RegisteredEndpoint endpoint, EndpointWork work) {
        this(endpoint, work, false);
    }
}
