package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.fencing.IssuerRank;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.membership.Heartbeat;
import io.bilberrygrade.core.membership.Liveness;
import io.bilberrygrade.core.membership.MemberTable;
import io.bilberrygrade.core.membership.SuspicionPolicy;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.MemberEntry;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.platform.InstanceListSource;
import io.bilberrygrade.serving.wire.InstanceDocument;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tracks the published instances and the liveness of peers. Addresses come from the published list,
 * liveness from gossiped heartbeats.
 */
public final class MembershipController implements GossipContributor {
    /** Interval between gossip rounds. */
    public static final Duration GOSSIP_INTERVAL = Duration.ofSeconds(1);

    private static final String ENTRY = "entry";
    private static final int ROUNDS_PER_DEAD_PEER_RETRY = 4;

    private final PeerIdentity mSelf;
    private final InstanceListSource mInstances;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private final MemberTable mTable;
    private final Set<InstanceId> mLivePeers = new HashSet<>();
    private InstanceListDocument mList = new InstanceListDocument(0, ImmutableList.of());
    private long mRounds;

    /** Creates the controller of a run that starts now, with no known peers. */
    public MembershipController(
            PeerIdentity self,
            InstanceListSource instances,
            UniformRandomProvider random,
            EventLog events,
            Instant now) {
        mSelf = self;
        mInstances = instances;
        mRandom = random;
        mEvents = events;
        mTable =
                new MemberTable(
                        self.instance(),
                        self.incarnation(),
                        new SuspicionPolicy(GOSSIP_INTERVAL, GossipDigest.MAX_MEMBERS),
                        now);
    }

    /** Returns the instance list as last read. */
    public InstanceListDocument instances() {
        return mList;
    }

    /** Returns the peers that are not dead, with their incarnations. */
    public Map<InstanceId, Incarnation> alive(Instant now) {
        return mTable.members(now).stream()
                .collect(ImmutableMap.toImmutableMap(Heartbeat::instance, Heartbeat::incarnation));
    }

    /** Returns the liveness of a peer. */
    public Liveness liveness(InstanceId peer, Instant now) {
        return mTable.liveness(peer, now);
    }

    /**
     * Returns whether a run has certainly ended, because a later incarnation of its instance was
     * seen.
     */
    public boolean hasEnded(InstanceId instance, Incarnation incarnation) {
        return mTable.hasEnded(instance, incarnation);
    }

    /** Returns the published address of an instance's daemon. */
    public Optional<Address> address(InstanceId instance) {
        return mList.instances().stream()
                .filter(i -> i.kind().equals(ENTRY) && i.id().equals(instance.value()))
                .flatMap(i -> i.address().stream())
                .findFirst();
    }

    /** Returns the daemon that issues an engine's orders: the highest ranked one that is alive. */
    public Optional<InstanceId> orderIssuer(EndpointId engine, Instant now) {
        return IssuerRank.issuer(
                engine, published(), i -> i.equals(mSelf.instance()) || alive(now).containsKey(i));
    }

    /** Returns the number of other daemons on the instance list, or empty before it was read. */
    public OptionalInt publishedPeers() {
        return mList.version() == 0
                ? OptionalInt.empty()
                : OptionalInt.of(Sets.difference(published(), Set.of(mSelf.instance())).size());
    }

    /** Reads the published list. A failure is logged and keeps the last list. */
    public Uni<Void> refresh() {
        return mInstances
                .read()
                .invoke(list -> mList = list.withAddressesOnly())
                .onFailure()
                .invoke(
                        e ->
                                mEvents.record(
                                        new MembershipEvent.InstanceListUnavailable(
                                                "instance list", e.toString())))
                .onFailure()
                .recoverWithNull()
                .replaceWithVoid();
    }

    /** Starts a gossip round: advances this daemon's heartbeat and records lost peers. */
    void startRound(Instant now) {
        mRounds++;
        mTable.incrementHeartbeat(now);
        mTable.retain(published(), now);
        Set<InstanceId> live = alive(now).keySet();
        for (InstanceId id : List.copyOf(mLivePeers)) {
            if (!live.contains(id)) {
                mLivePeers.remove(id);
                mEvents.record(new MembershipEvent.PeerLost(id.value(), "no heartbeat"));
            }
        }
        mLivePeers.addAll(live);
    }

    /**
     * Chooses peers to exchange digests with, at random among those that aren't dead. In every
     * fourth round, or if there are no others, a dead one is tried too, so that a healed partition
     * is detected.
     */
    ImmutableList<GossipController.Partner> choosePartners(int count, Instant now) {
        List<GossipController.Partner> candidates = new ArrayList<>();
        List<GossipController.Partner> dead = new ArrayList<>();
        for (InstanceDocument peer : mList.instances()) {
            if (peer.kind().equals(ENTRY) && !peer.id().equals(mSelf.instance().value())) {
                GossipController.Partner partner = partner(peer);
                boolean isDead = liveness(partner.instance(), now) == Liveness.DEAD;
                (isDead ? dead : candidates).add(partner);
            }
        }
        boolean retryDead = candidates.isEmpty() || mRounds % ROUNDS_PER_DEAD_PEER_RETRY == 0;
        ImmutableList.Builder<GossipController.Partner> chosen = ImmutableList.builder();
        chosen.addAll(sample(candidates, count));
        return chosen.addAll(sample(dead, retryDead ? 1 : 0)).build();
    }

    private List<GossipController.Partner> sample(
            List<GossipController.Partner> candidates, int count) {
        int size = Math.min(count, candidates.size());
        for (int i = 0; i < size; i++) {
            Collections.swap(candidates, i, i + mRandom.nextInt(candidates.size() - i));
        }
        return candidates.subList(0, size);
    }

    private static GossipController.Partner partner(InstanceDocument peer) {
        return new GossipController.Partner(
                new InstanceId(peer.id()), peer.address().orElseThrow());
    }

    @Override
    public void contribute(GossipDigestBuilder digestBuilder, Instant now) {
        for (Heartbeat h : mTable.digest(GossipDigest.MAX_MEMBERS, now)) {
            digestBuilder.add(
                    new MemberEntry(h.instance().value(), h.incarnation().value(), h.counter()));
        }
    }

    @Override
    public boolean merge(PeerIdentity from, GossipDigest digest, Instant now) {
        for (MemberEntry entry : digest.members()) {
            InstanceId id = new InstanceId(entry.instance());
            Incarnation incarnation = new Incarnation(entry.incarnation());
            if (mTable.recordHeartbeat(new Heartbeat(id, incarnation, entry.heartbeat()), now)) {
                mEvents.record(
                        new MembershipEvent.PeerJoined(
                                id.value(),
                                incarnation.value(),
                                address(id).map(Address::toString).orElse("")));
            }
        }
        return false;
    }

    private ImmutableSet<InstanceId> published() {
        return mList.instances().stream()
                .filter(i -> i.kind().equals(ENTRY))
                .map(i -> new InstanceId(i.id()))
                .collect(ImmutableSet.toImmutableSet());
    }
}
