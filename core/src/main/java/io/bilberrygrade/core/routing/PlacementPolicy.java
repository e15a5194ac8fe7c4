package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Instant;
import java.util.Optional;

/** Chooses the engine for a request. */
public interface PlacementPolicy {
    /** Returns the placement, or empty if no engine is available. */
    Optional<Placement> place(InferenceRequest request, EngineFleet fleet, Instant now);
}
