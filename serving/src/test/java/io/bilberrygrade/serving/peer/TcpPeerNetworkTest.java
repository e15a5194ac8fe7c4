package io.bilberrygrade.serving.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.settings.PeerKey;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class TcpPeerNetworkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final PeerKey KEY = PeerKey.of("right".getBytes(StandardCharsets.UTF_8));

    private final Vertx mVertx = Vertx.vertx();
    private final BlockingQueue<Event> mEvents = new LinkedBlockingQueue<>();
    private Address mServer;

    @BeforeEach
    void listen() {
        PeerServer server =
                new PeerServer(
                        mVertx,
                        identity("server"),
                        KEY,
                        (from, message) -> Uni.createFrom().item(message),
                        ControlTraffic.unexported(),
                        mEvents::add);
        mServer = new Address("127.0.0.1", server.listen("127.0.0.1", 0).await().atMost(TIMEOUT));
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void answersPeerWithSharedKey() {
        PeerMessage gossip = gossip();

        PeerMessage reply = call(network(KEY), gossip).await().atMost(TIMEOUT);

        assertThat(reply).isEqualTo(gossip);
    }

    @Test
    void rejectsPeerWithOtherKey() throws InterruptedException {
        PeerKey other = PeerKey.of("wrong".getBytes(StandardCharsets.UTF_8));
        Uni<PeerMessage> call = call(network(other), gossip());

        assertThatThrownBy(() -> call.await().atMost(TIMEOUT))
                .hasCauseInstanceOf(CallException.class)
                .cause()
                .extracting(e -> ((CallException) e).delivery())
                .isEqualTo(Delivery.NOT_DELIVERED);
        assertThat(mEvents.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(MembershipEvent.FrameRejected.class);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, PeerFrames.MAX_FRAME_BYTES + 1, 3})
    void closesConnectionAfterBadFrame(int length) throws InterruptedException {
        Buffer frame = Buffer.buffer().appendInt(length).appendString("abc");
        BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        mVertx.createNetClient()
                .connect(mServer.port(), mServer.host())
                .onSuccess(s -> s.closeHandler(v -> closed.add("closed")).write(frame));

        assertThat(closed.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("closed");
        assertThat(mEvents.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(MembershipEvent.FrameRejected.class);
    }

    private static PeerMessage gossip() {
        return new PeerMessage.Gossip(
                new GossipDigest(
                        List.of(new MemberEntry("client", 7, 3)),
                        5,
                        List.of(new LeavingMark("engine-1", 12)),
                        List.of(new ClassUse("client", 7, "short", 1.5, 4, 9))));
    }

    /** Calls on one event loop, as the network requires. */
    private Uni<PeerMessage> call(TcpPeerNetwork network, PeerMessage message) {
        Context context = mVertx.getOrCreateContext();
        return Uni.createFrom()
                .deferred(() -> network.call(mServer, message, TIMEOUT))
                .runSubscriptionOn(task -> context.runOnContext(v -> task.run()));
    }

    private static PeerIdentity identity(String name) {
        return new PeerIdentity(new InstanceId(name), new Incarnation(1));
    }

    private TcpPeerNetwork network(PeerKey key) {
        return new TcpPeerNetwork(mVertx, identity("client"), key, ControlTraffic.unexported());
    }
}
