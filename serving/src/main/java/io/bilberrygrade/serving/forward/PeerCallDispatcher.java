package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Dispatches peers' calls to the components that answer them. */
final class PeerCallDispatcher implements PeerHandler {
    private final WorkExchange mWorkExchange;
    private final ConfigExchange mConfigExchange;

    PeerCallDispatcher(WorkExchange workExchange, ConfigExchange configExchange) {
        mWorkExchange = workExchange;
        mConfigExchange = configExchange;
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        PeerMessage reply =
                switch (message) {
                    case PeerMessage.Work work -> mWorkExchange.answer(from, work);
                    case PeerMessage.ConfigWanted wanted -> mConfigExchange.answer(wanted);
                    case PeerMessage.RelaysWanted wanted -> mWorkExchange.relays().answer(wanted);
                    default ->
                            new PeerMessage.Failure(
                                    "work and configurations are exchanged here only");
                };
        return Uni.createFrom().item(reply);
    }
}
