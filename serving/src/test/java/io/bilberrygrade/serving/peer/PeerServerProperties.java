package io.bilberrygrade.serving.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.settings.PeerKey;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Checks that bytes of an unauthenticated client neither reach a handler nor affect other
 * connections.
 */
final class PeerServerProperties {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final PeerKey KEY = PeerKey.of("right".getBytes(StandardCharsets.UTF_8));
    private static final AtomicInteger HANDLED = new AtomicInteger();

    private static Vertx sVertx;
    private static Address sServer;

    @BeforeContainer
    static void listen() {
        sVertx = Vertx.vertx();
        PeerServer server =
                new PeerServer(
                        sVertx,
                        identity("server"),
                        KEY,
                        (from, message) -> {
                            HANDLED.incrementAndGet();
                            return Uni.createFrom().item(message);
                        },
                        ControlTraffic.unexported(),
                        e -> {});
        sServer = new Address("127.0.0.1", server.listen("127.0.0.1", 0).await().atMost(TIMEOUT));
    }

    @AfterContainer
    static void close() {
        sVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Property(tries = 150, seed = "5")
    void closesUnauthenticatedConnection(@ForAll("frames") byte[] bytes) {
        int handledBefore = HANDLED.get();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        sVertx.createNetClient()
                .connect(sServer.port(), sServer.host())
                .onSuccess(
                        s ->
                                s.closeHandler(v -> closed.complete(null))
                                        .handler(b -> {})
                                        .write(Buffer.buffer(bytes)));

        assertThat(closed).succeedsWithin(TIMEOUT);
        assertThat(HANDLED).hasValue(handledBefore);
    }

    @Property(tries = 3, seed = "5")
    void stillAnswersPeers(@ForAll("frames") byte[] bytes) {
        sVertx.createNetClient()
                .connect(sServer.port(), sServer.host())
                .onSuccess(s -> s.write(Buffer.buffer(bytes)));
        TcpPeerNetwork network =
                new TcpPeerNetwork(sVertx, identity("client"), KEY, ControlTraffic.unexported());
        Context context = sVertx.getOrCreateContext();
        PeerMessage reply =
                Uni.createFrom()
                        .deferred(() -> network.call(sServer, gossip(), TIMEOUT))
                        .runSubscriptionOn(task -> context.runOnContext(v -> task.run()))
                        .await()
                        .atMost(TIMEOUT);

        assertThat(reply).isEqualTo(gossip());
    }

    /** Generates complete frames of random bytes, valid messages and corrupted messages. */
    @Provide
    Arbitrary<byte[]> frames() {
        Arbitrary<byte[]> noise =
                Arbitraries.bytes().array(byte[].class).ofMinSize(1).ofMaxSize(200);
        Arbitrary<byte[]> valid =
                Arbitraries.of(EnvelopeKind.CALL, EnvelopeKind.REPLY, EnvelopeKind.HANDSHAKE)
                        .map(kind -> bytes(new Envelope(Envelope.VERSION, 1, kind, gossip())));
        Arbitrary<byte[]> corrupted =
                Combinators.combine(
                                valid, Arbitraries.integers().between(0, 60), Arbitraries.bytes())
                        .as(PeerServerProperties::corrupted);
        return Arbitraries.oneOf(noise, valid, corrupted).map(PeerServerProperties::framed);
    }

    private static byte[] corrupted(byte[] bytes, int position, byte value) {
        byte[] copy = bytes.clone();
        copy[position % copy.length] = value;
        return copy;
    }

    private static byte[] framed(byte[] body) {
        return Buffer.buffer().appendInt(body.length).appendBytes(body).getBytes();
    }

    private static byte[] bytes(Envelope envelope) {
        try {
            return Mappers.MESSAGE_PACK.writeValueAsBytes(envelope);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static PeerMessage gossip() {
        return new PeerMessage.Gossip(
                new GossipDigest(List.of(new MemberEntry("a", 1, 1)), 1, List.of(), List.of()));
    }

    private static PeerIdentity identity(String name) {
        return new PeerIdentity(new InstanceId(name), new Incarnation(1));
    }
}
