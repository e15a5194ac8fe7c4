package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Optional;

/** Chooses engines in turn, as a baseline for comparison. */
public final class RoundRobinPolicy implements PlacementPolicy {
    private int mNext;

    @Override
    public Optional<Placement> place(InferenceRequest request, EngineFleet fleet, Instant now) {
        ImmutableList<EndpointView> available =
                fleet.layout().engines().stream()
                        .map(e -> fleet.view(e, now))
                        .filter(EndpointView::available)
                        .collect(ImmutableList.toImmutableList());
        if (available.isEmpty()) {
            return Optional.empty();
        }
        mNext = (mNext + 1) % available.size();
        return Optional.of(Placement.unpredicted(available.get(mNext)));
    }
}
