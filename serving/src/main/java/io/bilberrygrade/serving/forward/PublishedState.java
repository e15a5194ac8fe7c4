package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.EndpointId;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;

/** The platform's store, read only. Failures are {@code CallException}s. */
public interface PublishedState {
    /**
     * Reads the configuration by a linearizable read; decodes it only if its position differs from
     * the given one.
     */
    Uni<ConfigReading> config(StorePosition known);

    /** Reads all endpoints' entries; unreadable entries are left out. */
    Uni<EndpointsReading> endpoints();

    /** Waits for changes after a revision, for the given time at most. */
    Uni<Changes> watch(long afterRevision, Duration wait);

    /**
     * The configuration as read.
     *
     * @param at position of its last change; empty if there is no configuration
     * @param config empty if nothing is published or the position is the known one
     * @param store the store's position, which counts every change
     */
    record ConfigReading(
            Optional<StorePosition> at, Optional<PublishedConfig> config, StorePosition store) {}

    /** All entries and the position from which to go on watching. */
    record EndpointsReading(StorePosition store, ImmutableList<RegisteredEndpoint> entries) {}

    /** Changes up to a position; {@code historyLost} says that some can't be had any more. */
    record Changes(StorePosition store, boolean historyLost, ImmutableList<Change> changes) {}

    /** One change. */
    sealed interface Change {
        /** A configuration was published. */
        record Config(StorePosition at, PublishedConfig config) implements Change {}

        /** An endpoint's entry was written. */
        record Endpoint(RegisteredEndpoint entry) implements Change {}

        /** An endpoint's entry vanished or can't be read any more. */
        record EndpointGone(EndpointId id) implements Change {}
    }
}
