package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.gang.GangPlan;
import io.bilberrygrade.core.gang.GangPlanner;
import io.bilberrygrade.core.gang.GangSegment;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.lane.LanePlan;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.core.routing.PlacementPolicy;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Places requests by the current state of the engines. */
public final class PlacementController {
    private final EndpointController mEndpoints;
    private final PlacementPolicy mPolicy;

    /** Creates the controller. */
    public PlacementController(EndpointController endpoints, PlacementPolicy policy) {
        mEndpoints = endpoints;
        mPolicy = policy;
    }

    /**
     * Returns where the request would run if it were dispatched now, or empty if no engine may be
     * used. Has no effect on later placements.
     */
    public Optional<Placement> place(Deployment deployment, InferenceRequest request, Instant now) {
        EngineFleet fleet = mEndpoints.fleet(deployment, request.model(), now);
        if (!GangPlanner.isGangNeeded(request.prompt(), fleet)) {
            return mPolicy.place(request, fleet, now);
        }
        ImmutableList<EndpointView> views = views(fleet, now);
        return GangPlanner.plan(request.prompt(), views, fleet.layout().lanes(), ImmutableSet.of())
                .or(() -> GangPlanner.planOnIdle(request.prompt(), views, fleet.layout().lanes()))
                .map(p -> ofGang(request, fleet, p));
    }

    /** Returns whether the prompt is too long for a single engine. */
    public boolean needsGang(Deployment deployment, InferenceRequest request, Instant now) {
        EngineFleet fleet = mEndpoints.fleet(deployment, request.model(), now);
        return GangPlanner.isGangNeeded(request.prompt(), fleet);
    }

    /**
     * Returns whether some data centre would have enough memory for the prompt if all of it were
     * free.
     */
    public boolean hasMemoryForGang(Deployment deployment, InferenceRequest request, Instant now) {
        EngineFleet fleet = mEndpoints.fleet(deployment, request.model(), now);
        return GangPlanner.fits(request.prompt(), fleet.layout().engines());
    }

    /** Returns a gang that can serve the prompt now without using the busy engines. */
    public Optional<GangPlan> planGang(
            Deployment deployment,
            InferenceRequest request,
            ImmutableSet<EndpointId> busy,
            Instant now) {
        EngineFleet fleet = mEndpoints.fleet(deployment, request.model(), now);
        return GangPlanner.plan(request.prompt(), views(fleet, now), fleet.layout().lanes(), busy);
    }

    /** Returns the placement of one segment of a gang. */
    public Placement segmentPlacement(
            Deployment deployment, InferenceRequest request, GangSegment segment, Instant now) {
        LanePlan lanes = mEndpoints.fleet(deployment, request.model(), now).layout().lanes();
        EndpointView engine = segment.engine();
        Duration backlog = engine.rate().timeFor(engine.backlog().ahead(Lane.LONG));
        return new Placement(
                engine,
                backlog.plus(engine.rate().timeFor((double) segment.tokens())),
                backlog,
                Lane.LONG,
                lanes.priority(request.workClass(), request.prompt().tokens()));
    }

    private static Placement ofGang(InferenceRequest request, EngineFleet fleet, GangPlan plan) {
        EndpointView first = plan.segments().get(0).engine();
        return new Placement(
                first,
                plan.predictedTimeToFirstToken(),
                first.rate().timeFor(first.backlog().ahead(Lane.LONG)),
                Lane.LONG,
                fleet.layout().lanes().priority(request.workClass(), request.prompt().tokens()));
    }

    private static ImmutableList<EndpointView> views(EngineFleet fleet, Instant now) {
        return fleet.layout().engines().stream()
                .map(e -> fleet.view(e, now))
                .collect(ImmutableList.toImmutableList());
    }
}
