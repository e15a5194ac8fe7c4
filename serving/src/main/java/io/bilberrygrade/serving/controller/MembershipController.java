package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.platform.InstanceSource;
import io.bilberrygrade.serving.wire.InstanceDocument;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Owns what this daemon knows of the published instances and of its peers. */
public final class MembershipController {
    private static final Duration PING_TIMEOUT = Duration.ofMillis(500);
    private static final String ENTRY = "entry";

    private final PeerIdentity mSelf;
    private final InstanceSource mInstances;
    private final PeerNetwork mPeers;
    private final LongSupplier mConfigVersion;
    private final EventLog mEvents;
    private final Map<InstanceId, Incarnation> mAlive = new HashMap<>();
    private InstanceListDocument mList = new InstanceListDocument(0, ImmutableList.of());

    /** Creates the controller; it knows nobody yet. */
    public MembershipController(
            PeerIdentity self,
            InstanceSource instances,
            PeerNetwork peers,
            LongSupplier configVersion,
            EventLog events) {
        mSelf = self;
        mInstances = instances;
        mPeers = peers;
        mConfigVersion = configVersion;
        mEvents = events;
    }

    /** Returns the list of instances as last read. */
    public InstanceListDocument instances() {
        return mList;
    }

    /** Returns the peers that answered last time, with their incarnations. */
    public Map<InstanceId, Incarnation> alive() {
        return Map.copyOf(mAlive);
    }

    /** Reads the list and greets the peers on it. Failures leave everything as it is. */
    public Uni<Void> refresh() {
        return mInstances
                .read()
                .invoke(list -> mList = list)
                .onFailure()
                .invoke(
                        e ->
                                mEvents.record(
                                        new MembershipEvent.InstanceListUnavailable(
                                                "instance list", e.toString())))
                .onFailure()
                .recoverWithItem(mList)
                .onItem()
                .transformToUni(l -> greetAll());
    }

    /** Answers a peer's ping and notes that the peer is there. */
    public PeerMessage onPing(PeerMessage.Ping ping) {
        note(new InstanceId(ping.instance()), new Incarnation(ping.incarnation()), "");
        return new PeerMessage.Pong(
                mSelf.instance().value(), mSelf.incarnation().value(), mConfigVersion.getAsLong());
    }

    private Uni<Void> greetAll() {
        return Multi.createFrom()
                .iterable(mList.instances())
                .filter(i -> i.kind().equals(ENTRY) && !i.id().equals(mSelf.instance().value()))
                .onItem()
                .transformToUniAndMerge(this::greet)
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> greet(InstanceDocument peer) {
        PeerMessage ping =
                new PeerMessage.Ping(
                        mSelf.instance().value(),
                        mSelf.incarnation().value(),
                        mConfigVersion.getAsLong());
        InstanceId id = new InstanceId(peer.id());
        return mPeers.call(new Address(peer.host(), peer.port()), ping, PING_TIMEOUT)
                .invoke(reply -> onPong(id, reply, peer))
                .onFailure()
                .invoke(e -> lost(id, e))
                .onFailure()
                .recoverWithNull()
                .replaceWithVoid();
    }

    private void onPong(InstanceId id, PeerMessage reply, InstanceDocument peer) {
        if (reply instanceof PeerMessage.Pong p) {
            note(id, new Incarnation(p.incarnation()), peer.host() + ":" + peer.port());
        }
    }

    private void note(InstanceId id, Incarnation incarnation, String address) {
        Incarnation known = mAlive.put(id, incarnation);
        if (!incarnation.equals(known)) {
            mEvents.record(
                    new MembershipEvent.PeerJoined(id.value(), incarnation.value(), address));
        }
    }

    private void lost(InstanceId id, Throwable e) {
        if (mAlive.remove(id) != null) {
            mEvents.record(new MembershipEvent.PeerLost(id.value(), e.toString()));
        }
    }
}
