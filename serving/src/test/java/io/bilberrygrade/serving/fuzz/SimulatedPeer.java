package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Daemon that can be attached to a {@link SimulatedNetwork}. */
public interface SimulatedPeer {
    /** Returns the process in which it runs. */
    SimulatedProcess process();

    /** Returns its identity. */
    PeerIdentity identity();

    /** Returns the address at which it receives calls. */
    Address address();

    /** Handles a call and returns its reply. */
    Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message);
}
