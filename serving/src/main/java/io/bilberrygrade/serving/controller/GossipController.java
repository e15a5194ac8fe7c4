package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Spreads the daemons' shared state by push-pull gossip. Each round calls a fixed number of peers
 * with a digest of bounded size, so that a daemon's control traffic doesn't grow with the fleet.
 * News, such as a new configuration version, is sent at once.
 */
public final class GossipController {
    private static final int FAN_OUT = 1;
    private static final int NEWS_FAN_OUT = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

    private final MembershipController mMembership;
    private final PeerNetwork mPeers;
    private final InstantSource mClock;
    private final List<GossipContributor> mContributors = new ArrayList<>();

    /** Creates the controller; the membership is its first contributor. */
    public GossipController(
            MembershipController membership, PeerNetwork peers, InstantSource clock) {
        mMembership = membership;
        mPeers = peers;
        mClock = clock;
        mContributors.add(membership);
    }

    /** Registers a contributor to the digest. */
    public void register(GossipContributor contributor) {
        mContributors.add(contributor);
    }

    /** Runs one round: exchanges digests with a few peers. Failed exchanges are ignored. */
    public Uni<Void> round() {
        mMembership.startRound(mClock.instant());
        return exchange(mMembership.choosePartners(FAN_OUT, mClock.instant()));
    }

    /** Exchanges digests with more peers than a round does, to spread news at once. */
    public void spreadNews() {
        exchange(mMembership.choosePartners(NEWS_FAN_OUT, mClock.instant()))
                .subscribe()
                .with(v -> {}, e -> {});
    }

    /**
     * Merges the digest of a calling peer and returns this daemon's own, taken before the merge.
     */
    public PeerMessage onGossip(PeerIdentity from, PeerMessage.Gossip gossip) {
        GossipDigest reply = digest();
        merge(from, gossip.digest());
        return new PeerMessage.GossipReply(reply);
    }

    private Uni<Void> exchange(ImmutableList<Partner> partners) {
        PeerMessage push = new PeerMessage.Gossip(digest());
        return Multi.createFrom()
                .iterable(partners)
                .onItem()
                .transformToUniAndMerge(p -> exchange(p, push))
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> exchange(Partner partner, PeerMessage push) {
        return mPeers.call(partner.address(), push, CALL_TIMEOUT)
                .invoke(reply -> onReply(partner, reply))
                .onFailure()
                .recoverWithNull()
                .replaceWithVoid();
    }

    private void onReply(Partner partner, PeerMessage reply) {
        if (reply instanceof PeerMessage.GossipReply r && !r.digest().members().isEmpty()) {
            merge(partner.identity(r.digest()), r.digest());
        }
    }

    private void merge(PeerIdentity from, GossipDigest digest) {
        boolean news = false;
        for (GossipContributor contributor : mContributors) {
            news |= contributor.merge(from, digest, mClock.instant());
        }
        if (news) {
            spreadNews();
        }
    }

    private GossipDigest digest() {
        GossipDigestBuilder digestBuilder = new GossipDigestBuilder();
        mContributors.forEach(c -> c.contribute(digestBuilder, mClock.instant()));
        return digestBuilder.build();
    }

    /** Peer to exchange digests with. */
    record Partner(InstanceId instance, Address address) {
        /**
         * Returns the identity of the peer that answered; the first member of a digest is its
         * sender.
         */
        PeerIdentity identity(GossipDigest digest) {
            return new PeerIdentity(
                    instance, new Incarnation(digest.members().get(0).incarnation()));
        }
    }
}
