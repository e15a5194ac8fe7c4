package io.bilberrygrade.serving.controller;

import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.PeerIdentity;
import java.time.Instant;

/** Owner of one part of the gossip: adds its part to digests and takes over that of peers. */
public interface GossipContributor {
    /** Adds this part to a digest that is about to be sent. */
    void contribute(GossipDraft draft, Instant now);

    /**
     * Takes over this part of a peer's digest. Returns whether it held news that must spread at
     * once, without waiting for the next round.
     */
    boolean merge(PeerIdentity from, GossipDigest digest, Instant now);
}
