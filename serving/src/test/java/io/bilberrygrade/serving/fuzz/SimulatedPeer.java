package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Daemon as the simulated network sees it. */
public interface SimulatedPeer {
    /** Returns the process that it runs in. */
    SimulatedProcess process();

    /** Returns who it is. */
    PeerIdentity identity();

    /** Returns where it takes calls. */
    Address address();

    /** Answers a call. */
    Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message);
}
