package io.bilberrygrade.serving.peer;

import io.smallrye.mutiny.Uni;

/** Handles calls of peers. */
public interface PeerHandler {
    /** Returns the reply to a peer's call. */
    Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message);
}
