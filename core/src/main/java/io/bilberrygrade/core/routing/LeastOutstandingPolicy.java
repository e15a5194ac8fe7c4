package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the engine with the fewest requests of this daemon, as a baseline for comparison. */
public final class LeastOutstandingPolicy implements PlacementPolicy {
    @Override
    public Optional<EndpointView> place(
            InferenceRequest request, ImmutableList<EndpointView> candidates, Instant now) {
        return candidates.stream()
                .filter(EndpointView::available)
                .min(Comparator.comparingInt(EndpointView::ownRequests));
    }
}
