package io.bilberrygrade.serving.controller;

import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.PeerIdentity;
import java.time.Instant;

/** Contributes one part of the gossip digest and merges the same part of peers' digests. */
public interface GossipContributor {
    /** Adds this part to a digest that is about to be sent. */
    void contribute(GossipDigestBuilder digestBuilder, Instant now);

    /**
     * Merges this part of a peer's digest. Returns whether it held news that must spread at once,
     * without waiting for the next round.
     */
    boolean merge(PeerIdentity from, GossipDigest digest, Instant now);
}
