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
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final PeerKey KEY = PeerKey.of("right".getBytes(StandardCharsets.UTF_8));

    private final Vertx mVertx = Vertx.vertx();
    private final Context mContext = mVertx.getOrCreateContext();
    private final BlockingQueue<Event> mEvents = new LinkedBlockingQueue<>();
    private Address mServer;
    private volatile boolean mThrows;

    @BeforeEach
    void listen() {
        PeerServer server =
                new PeerServer(
                        mVertx,
                        identity("server"),
                        KEY,
                        (from, message) -> handle(message),
                        ControlTraffic.unexported(),
                        mEvents::add);
        mServer = new Address("127.0.0.1", server.listen("127.0.0.1", 0).await().atMost(TIMEOUT));
    }

    private Uni<PeerMessage> handle(PeerMessage message) {
        if (mThrows) {
            throw new IllegalStateException("fault of a handler");
        }
        return Uni.createFrom().item(message);
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

    // Guards against a call without an answer, for which the peer waits until its timeout.
    @Test
    void answersWithFailureIfTheHandlerThrows() {
        mThrows = true;

        Uni<PeerMessage> call = call(network(KEY), gossip());

        assertThatThrownBy(() -> call.await().atMost(TIMEOUT))
                .hasCauseInstanceOf(CallException.class)
                .hasMessageContaining("IllegalStateException: fault of a handler");
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

    // Guards against a connection that is kept after it failed to start, so that calls wait.
    @Test
    void closedNetworkFailsEachCall() {
        TcpPeerNetwork network = network(KEY);
        network.close();
        for (int i = 0; i < 2; i++) {
            Uni<PeerMessage> call = call(network, gossip());
            assertThatThrownBy(() -> call.await().atMost(TIMEOUT))
                    .hasCauseInstanceOf(CallException.class)
                    .cause()
                    .extracting(e -> ((CallException) e).delivery())
                    .isEqualTo(Delivery.NOT_DELIVERED);
        }
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

    // Guards against daemons that lose each other for minutes when open connections go silent.
    @Test
    void silentConnectionIsReplacedAfterOneTimeout() {
        SilencingProxy proxy = SilencingProxy.listen(mVertx, mServer);
        TcpPeerNetwork network = network(KEY);
        PeerMessage gossip = gossip();
        assertThat(call(network, proxy.address(), gossip, TIMEOUT).await().atMost(TIMEOUT))
                .isEqualTo(gossip);
        for (int silence = 0; silence < 2; silence++) {
            proxy.silenceOpenConnections();
            Uni<PeerMessage> lost = call(network, proxy.address(), gossip, SHORT_TIMEOUT);
            assertThatThrownBy(() -> lost.await().atMost(TIMEOUT))
                    .hasCauseInstanceOf(CallException.class);

            assertThat(call(network, proxy.address(), gossip, TIMEOUT).await().atMost(TIMEOUT))
                    .isEqualTo(gossip);
        }
        assertThat(proxy.opened()).isEqualTo(3);
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
        return call(network, mServer, message, TIMEOUT);
    }

    private Uni<PeerMessage> call(
            TcpPeerNetwork network, Address peer, PeerMessage message, Duration timeout) {
        return Uni.createFrom()
                .deferred(() -> network.call(peer, message, timeout))
                .runSubscriptionOn(task -> mContext.runOnContext(v -> task.run()));
    }

    private static PeerIdentity identity(String name) {
        return new PeerIdentity(new InstanceId(name), new Incarnation(1));
    }

    private TcpPeerNetwork network(PeerKey key) {
        return new TcpPeerNetwork(mVertx, identity("client"), key, ControlTraffic.unexported());
    }
}
