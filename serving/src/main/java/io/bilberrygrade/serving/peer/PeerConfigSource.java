package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.platform.ConfigSource;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/**
 * Reads the configuration in force at a peer, for when the configuration service is down or stale.
 */
public final class PeerConfigSource implements ConfigSource {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final PeerNetwork mPeers;
    private final Address mPeer;

    /** Creates a reader of the peer at the given address. */
    public PeerConfigSource(PeerNetwork peers, Address peer) {
        mPeers = peers;
        mPeer = peer;
    }

    @Override
    public Uni<ManifestDocument> watch(long after, Duration wait) {
        return mPeers.call(mPeer, new PeerMessage.ManifestRequest(after), TIMEOUT)
                .onItem()
                .transformToUni(
                        reply ->
                                reply instanceof PeerMessage.ManifestReply r && r.parts() != null
                                        ? Uni.createFrom()
                                                .item(new ManifestDocument(r.version(), r.parts()))
                                        : unexpectedReply(reply));
    }

    @Override
    public Uni<Buffer> read(PartReference part) {
        return mPeers.call(mPeer, new PeerMessage.PartRequest(part.digest()), TIMEOUT)
                .onItem()
                .transformToUni(
                        reply ->
                                reply instanceof PeerMessage.PartReply r && r.text() != null
                                        ? Uni.createFrom().item(Buffer.buffer(r.text()))
                                        : unexpectedReply(reply));
    }

    private <T> Uni<T> unexpectedReply(PeerMessage reply) {
        return Uni.createFrom()
                .failure(
                        new CallException(
                                Step.CONFIGURATION,
                                mPeer.toString(),
                                Delivery.REFUSED,
                                reply.toString()));
    }
}
