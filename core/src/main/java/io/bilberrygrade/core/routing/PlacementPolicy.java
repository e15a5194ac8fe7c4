package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Optional;

/** Chooses the engine of a request. Implementations differ in what they take into account. */
public interface PlacementPolicy {
    /** Returns the engine to use among the candidates, or empty when none may be used. */
    Optional<EndpointView> place(
            InferenceRequest request, ImmutableList<EndpointView> candidates, Instant now);
}
