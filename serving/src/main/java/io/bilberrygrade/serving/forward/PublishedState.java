package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;

/** Read-only client of the platform's store. Failures are {@code CallException}s. */
public interface PublishedState {
    /**
     * Reads the configuration with a linearizable read; decodes it only if its position differs
     * from the given one.
     */
    Uni<ConfigReading> config(StorePosition known);

    /**
     * Reads the entries of all endpoints, and all marks of evacuated data centres where the
     * deployment has them.
     */
    Uni<EndpointsReading> endpoints();

    /** Waits for changes after a revision, at most for the given time. */
    Uni<Changes> watch(long afterRevision, Duration wait);

    /**
     * Closes the open connections, since one of them seems dead; later calls use new ones. Calls in
     * flight that weren't cancelled are sent again.
     */
    void reconnect();

    /**
     * Result of a read of the configuration.
     *
     * @param at position of its last change; empty if there is no configuration that can be read,
     *     so that the reading confirms none
     * @param config empty if nothing is published or the position is the known one
     * @param store position of the store, which every change advances
     * @param unreadable the published configuration if it can't be read
     */
    record ConfigReading(
            Optional<StorePosition> at,
            Optional<PublishedConfig> config,
            StorePosition store,
            Optional<UnreadableEntry> unreadable) {
        /** Creates a reading of a configuration that could be read, or of none. */
        public ConfigReading(
                Optional<StorePosition> at, Optional<PublishedConfig> config, StorePosition store) {
            this(at, config, store, Optional.empty());
        }
    }

    /**
     * All entries, those that can't be read, and the position from which to watch.
     *
     * @param evacuated evacuated data centres with the positions of their marks; empty if the marks
     *     weren't read
     */
    record EndpointsReading(
            StorePosition store,
            ImmutableList<RegisteredEndpoint> entries,
            ImmutableList<UnreadableEntry> unreadable,
            Optional<ImmutableMap<DataCentreId, StorePosition>> evacuated) {
        /** Creates a reading in which all entries could be read. */
        public EndpointsReading(StorePosition store, ImmutableList<RegisteredEndpoint> entries) {
            this(store, entries, ImmutableList.of(), Optional.empty());
        }
    }

    /**
     * Changes up to a position, and the written entries that can't be read; {@code historyLost} is
     * set if some are no longer available.
     */
    record Changes(
            StorePosition store,
            boolean historyLost,
            ImmutableList<Change> changes,
            ImmutableList<UnreadableEntry> unreadable) {
        /** Creates changes that could all be read. */
        public Changes(StorePosition store, boolean historyLost, ImmutableList<Change> changes) {
            this(store, historyLost, changes, ImmutableList.of());
        }
    }

    /** One change. */
    sealed interface Change {
        /** A configuration was published. */
        record Config(StorePosition at, PublishedConfig config) implements Change {}

        /** An endpoint's entry was written. */
        record Endpoint(RegisteredEndpoint entry) implements Change {}

        /** An endpoint's entry was removed or can no longer be parsed. */
        record EndpointGone(EndpointId id) implements Change {}

        /** A data centre was marked as evacuated, or its mark was withdrawn. */
        record Evacuation(DataCentreId dataCentre, StorePosition at, boolean marked)
                implements Change {}
    }
}
