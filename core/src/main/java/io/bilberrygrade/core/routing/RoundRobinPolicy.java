package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Optional;

/** Chooses engines in turn, as a baseline for comparison. */
public final class RoundRobinPolicy implements PlacementPolicy {
    private int mNext;

    @Override
    public Optional<EndpointView> place(
            InferenceRequest request, ImmutableList<EndpointView> candidates, Instant now) {
        ImmutableList<EndpointView> available =
                candidates.stream()
                        .filter(EndpointView::available)
                        .collect(ImmutableList.toImmutableList());
        if (available.isEmpty()) {
            return Optional.empty();
        }
        mNext = (mNext + 1) % available.size();
        return Optional.of(available.get(mNext));
    }
}
