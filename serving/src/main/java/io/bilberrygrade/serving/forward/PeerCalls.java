package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Takes peers' calls and gives each to the part that answers it. */
final class PeerCalls implements PeerHandler {
    private final WorkExchange mExchange;
    private final ConfigHandOver mHandOver;

    PeerCalls(WorkExchange exchange, ConfigHandOver handOver) {
        mExchange = exchange;
        mHandOver = handOver;
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        PeerMessage reply =
                switch (message) {
                    case PeerMessage.Work work -> mExchange.answer(from, work);
                    case PeerMessage.ConfigWanted wanted -> mHandOver.answer(wanted);
                    default ->
                            new PeerMessage.Failure(
                                    "work and configurations are exchanged here only");
                };
        return Uni.createFrom().item(reply);
    }
}
