package io.bilberrygrade.serving.entry;

import io.bilberrygrade.serving.atmostonce.KeyRouter;
import io.bilberrygrade.serving.controller.ConfigGossip;
import io.bilberrygrade.serving.controller.GossipController;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;

/** Dispatches each peer message to the controller that owns the state it concerns. */
public final class PeerCalls implements PeerHandler {
    private final GossipController mGossip;
    private final KeyRouter mKeys;
    private final GangController mGangs;
    private final ConfigGossip mConfig;

    /** Creates the handler. */
    public PeerCalls(
            GossipController gossip, KeyRouter keys, GangController gangs, ConfigGossip config) {
        mGossip = gossip;
        mKeys = keys;
        mGangs = gangs;
        mConfig = config;
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        return switch (message) {
            case PeerMessage.Gossip g -> Uni.createFrom().item(mGossip.onGossip(from, g));
            case PeerMessage.ManifestRequest m ->
                    Uni.createFrom().item(mConfig.onManifestRequest(m));
            case PeerMessage.PartRequest p -> Uni.createFrom().item(mConfig.onPartRequest(p));
            case PeerMessage.KeyedCall k -> mKeys.onKeyedCall(k);
            case PeerMessage.GangRequest r -> Uni.createFrom().item(mGangs.onRequest(r));
            case PeerMessage.GangRelease r -> Uni.createFrom().item(mGangs.onRelease(r));
            default -> unexpected(from);
        };
    }

    private static Uni<PeerMessage> unexpected(PeerIdentity from) {
        return Uni.createFrom()
                .item(new PeerMessage.Failure("unexpected call of " + from.instance()));
    }
}
