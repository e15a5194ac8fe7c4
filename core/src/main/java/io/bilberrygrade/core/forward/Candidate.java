package io.bilberrygrade.core.forward;

/** Endpoint that is eligible for a request, with its outstanding work. */
public record Candidate(RegisteredEndpoint endpoint, EndpointWork work) {}
