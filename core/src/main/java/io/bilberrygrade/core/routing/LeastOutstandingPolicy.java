package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the engine with the fewest requests of this daemon, as a baseline for comparison. */
public final class LeastOutstandingPolicy implements PlacementPolicy {
    @Override
    public Optional<Placement> place(InferenceRequest request, EngineFleet fleet, Instant now) {
        return fleet.layout().engines().stream()
                .map(e -> fleet.view(e, now))
                .filter(EndpointView::available)
                .min(Comparator.comparingInt(EndpointView::ownRequests))
                .map(Placement::unpredicted);
    }
}
