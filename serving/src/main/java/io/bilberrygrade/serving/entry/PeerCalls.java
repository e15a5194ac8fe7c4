package io.bilberrygrade.serving.entry;

import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Hands each call of a peer to the controller that owns the state it is about. */
final class PeerCalls implements PeerHandler {
    private final MembershipController mMembership;

    PeerCalls(MembershipController membership) {
        mMembership = membership;
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        return switch (message) {
            case PeerMessage.Ping p -> Uni.createFrom().item(mMembership.onPing(p));
            default -> unexpected(from);
        };
    }

    private static Uni<PeerMessage> unexpected(PeerIdentity from) {
        return Uni.createFrom()
                .item(new PeerMessage.Failure("unexpected call of " + from.instance()));
    }
}
