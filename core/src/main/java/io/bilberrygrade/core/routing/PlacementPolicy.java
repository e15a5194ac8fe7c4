package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Optional;

/** Chooses the engine of a request. Implementations differ in what they take into account. */
public interface PlacementPolicy {
    /** Returns the engine to use, or empty when none may be used. */
    Optional<Placement> place(InferenceRequest request, EngineFleet fleet, Instant now);
}
