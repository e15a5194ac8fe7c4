package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.core.routing.PlacementPolicy;
import java.time.Instant;
import java.util.Optional;

/** Places requests on what this daemon knows of the engines at the moment. */
public final class PlacementController {
    private final EndpointController mEndpoints;
    private final PlacementPolicy mPolicy;

    /** Creates the controller. */
    public PlacementController(EndpointController endpoints, PlacementPolicy policy) {
        mEndpoints = endpoints;
        mPolicy = policy;
    }

    /**
     * Returns where the request would run if it were dispatched now, or empty when no engine may be
     * used. Asking changes nothing that later decisions depend on.
     */
    public Optional<Placement> place(Deployment deployment, InferenceRequest request, Instant now) {
        return mPolicy.place(request, mEndpoints.fleet(deployment, request.model(), now), now);
    }
}
