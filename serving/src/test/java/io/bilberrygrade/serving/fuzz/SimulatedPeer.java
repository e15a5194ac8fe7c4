package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Daemon as the simulated network sees it. */
interface SimulatedPeer {
    SimulatedProcess process();

    PeerIdentity identity();

    Address address();

    Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message);
}
