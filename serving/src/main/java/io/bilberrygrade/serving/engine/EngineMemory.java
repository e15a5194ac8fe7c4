package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Reserves memory on engines. Failures are {@code CallException}s. */
public interface EngineMemory {
    /**
     * Reserves memory under an id for a time, or renews the reservation of that id. Returns whether
     * the reservation is held. A request that gets no answer may still be executed later.
     */
    Uni<Boolean> reserve(RegisteredEndpoint engine, String id, long tokens, Duration hold);

    /** Releases a reservation. */
    Uni<Void> release(RegisteredEndpoint engine, String id);
}
