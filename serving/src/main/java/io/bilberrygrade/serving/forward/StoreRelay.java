package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import io.bilberrygrade.serving.peer.EndpointChangeEntry;
import io.bilberrygrade.serving.peer.StoreChanges;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Relays changes of the endpoints to peers, so that a fleet watches the store about as often as two
 * daemons would. Configurations aren't relayed: a peer that learns of a newer one reads it itself.
 * Marks of evacuated data centres are relayed by {@code EvacuationController}.
 */
final class StoreRelay {
    private final StateController mState;
    private final StateReader mReader;
    private final Clocks mClocks;

    StoreRelay(StateController state, StateReader reader, Clocks clocks) {
        mState = state;
        mReader = reader;
        mClocks = clocks;
    }

    /** Returns the position in the store up to which this daemon has the endpoints. */
    StorePosition position() {
        return mReader.history().position();
    }

    /**
     * Returns the changes that this daemon has seen after a position; null if its history doesn't
     * reach back that far, if it isn't watching the store itself, or if the position is of another
     * era of the store.
     */
    StoreChanges changesSince(StorePosition position) {
        if (!mReader.isWatching() || mState.endpoints().isStoreUnreachable()) {
            return null;
        }
        long timeSinceStoreReturn =
                mState.endpoints()
                        .timeSinceStoreReturn(mClocks.now())
                        .map(Duration::toMillis)
                        .orElse(-1L);
        return mReader.history()
                .since(position)
                .map(
                        c ->
                                new StoreChanges(
                                        position().era(),
                                        position().revision(),
                                        timeSinceStoreReturn,
                                        encode(c)))
                .orElse(null);
    }

    private static ImmutableList<EndpointChangeEntry> encode(ImmutableList<Change> changes) {
        return changes.stream()
                .flatMap(
                        c ->
                                switch (c) {
                                    case Change.Config config -> Stream.empty();
                                    case Change.Evacuation e -> Stream.empty();
                                    case Change.Endpoint e -> Stream.of(encode(e.entry()));
                                    case Change.EndpointGone g -> Stream.of(encodeRemoved(g.id()));
                                })
                .collect(ImmutableList.toImmutableList());
    }

    private static EndpointChangeEntry encode(RegisteredEndpoint e) {
        return new EndpointChangeEntry(
                e.id().value(),
                e.startedAtMillis(),
                e.service().value(),
                e.address().toString(),
                e.dataCentre().value(),
                e.slots(),
                e.leaving(),
                e.coldLeft().map(Duration::toMillis).orElse(null));
    }

    private static EndpointChangeEntry encodeRemoved(EndpointId id) {
        return new EndpointChangeEntry(id.value(), 0, null, null, null, 0, false, null);
    }

    /**
     * Applies the changes that a peer has seen after the given position of this daemon.
     *
     * @param replacesWatch whether this daemon needs no watch of its own as long as the peer relays
     */
    void applyPeerChanges(StoreChanges answer, StorePosition askedPosition, boolean replacesWatch) {
        StorePosition upTo = new StorePosition(answer.era(), answer.revision());
        if (answer.changes() == null
                || !askedPosition.equals(position())
                || !upTo.sameEra(askedPosition)) {
            return;
        }
        if (answer.returnedAgoMillis() >= 0) {
            mState.endpoints()
                    .onStoreReturned(
                            mClocks.now().minus(Duration.ofMillis(answer.returnedAgoMillis())));
        }
        mReader.applyRelayed(upTo, decode(answer.changes()), replacesWatch);
    }

    /**
     * Compares a peer's position with that of this daemon, whose watch may have a dead connection.
     */
    void onPeerPosition(StorePosition position) {
        if (position.sameEra(position())) {
            mReader.checkWatch(position);
        }
    }

    private static ImmutableList<Change> decode(List<EndpointChangeEntry> entries) {
        return entries.stream()
                .filter(Objects::nonNull)
                .flatMap(e -> decode(e).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Decodes a change; empty if it is malformed. */
    private static Optional<Change> decode(EndpointChangeEntry e) {
        Optional<EndpointId> id = Identifier.tryCreate(e.endpoint(), EndpointId::new);
        return e.address() == null
                ? id.map(Change.EndpointGone::new)
                : id.flatMap(i -> endpoint(i, e)).map(Change.Endpoint::new);
    }

    private static Optional<RegisteredEndpoint> endpoint(EndpointId id, EndpointChangeEntry e) {
        Optional<ServiceId> service = Identifier.tryCreate(e.service(), ServiceId::new);
        Optional<Address> address = Address.tryParseRemote(e.address());
        Optional<DataCentreId> dataCentre = Identifier.tryCreate(e.dataCentre(), DataCentreId::new);
        if (service.isEmpty() || address.isEmpty() || dataCentre.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new RegisteredEndpoint(
                        id,
                        e.startedAtMillis(),
                        service.get(),
                        address.get(),
                        dataCentre.get(),
                        e.slots(),
                        e.leaving(),
                        Optional.ofNullable(e.coldLeftMillis())
                                .filter(m -> m >= 0)
                                .map(Duration::ofMillis)));
    }
}
