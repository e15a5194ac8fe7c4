package io.bilberrygrade.serving.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.BaseEncoding;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.settings.PeerKey;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that a frame that can't be read is reported and closes its connection only. */
final class OddFrameTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String HOST = "127.0.0.1";
    private static final int DEPTH = 100_000;
    private static final String FIELD_X = "81a178";
    private static final String FIELD_VERSION = "81a776657273696f6e";

    private final Vertx mVertx = Vertx.vertx();
    private final CompletableFuture<String> mFault = new CompletableFuture<>();
    private int mPort;

    @BeforeEach
    void listen() {
        PeerServer server =
                new PeerServer(
                        mVertx,
                        new PeerIdentity(new InstanceId("server"), new Incarnation(1)),
                        PeerKey.of(new byte[] {1}),
                        (from, message) -> Uni.createFrom().item(message),
                        ControlTraffic.unexported(),
                        e -> {
                            if (e instanceof MembershipEvent.FrameRejected r) {
                                mFault.complete(r.toString());
                            }
                        });
        mPort = server.listen(HOST, 0).await().atMost(TIMEOUT);
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static Stream<Arguments> bodies() {
        return Stream.of(
                        Named.of("deep lists", "91".repeat(DEPTH) + "c0"),
                        Named.of("deep lists in a field", FIELD_X + "91".repeat(DEPTH) + "c0"),
                        Named.of("deep maps", FIELD_X.repeat(DEPTH) + "c0"),
                        Named.of("text of 2 GB", FIELD_X + "db7fffffff"),
                        Named.of("text of 4 GB", FIELD_X + "dbffffffff"),
                        Named.of("bytes of 2 GB", FIELD_X + "c67fffffff"),
                        Named.of("list of 4 G entries", FIELD_X + "ddffffffff"),
                        Named.of("map of 4 G entries", "dfffffffff"),
                        Named.of("unused type", FIELD_X + "c1"),
                        Named.of("version beyond a long", FIELD_VERSION + "cfffffffffffffffff"),
                        Named.of("version is infinite", FIELD_VERSION + "cb7ff0000000000000"),
                        Named.of("version is an extension", FIELD_VERSION + "c77fffffff"),
                        Named.of("version is a list", FIELD_VERSION + "9101"),
                        Named.of("half a frame", FIELD_VERSION),
                        Named.of("no UTF-8", "81a1ff01"))
                .map(Arguments::of);
    }

    @ParameterizedTest
    @MethodSource("bodies")
    void unreadableFrameClosesItsConnection(String body) {
        byte[] bytes = BaseEncoding.base16().lowerCase().decode(body);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mVertx.createNetClient()
                .connect(mPort, HOST)
                .onSuccess(
                        s ->
                                s.closeHandler(v -> closed.complete(null))
                                        .handler(b -> {})
                                        .write(
                                                Buffer.buffer()
                                                        .appendInt(bytes.length)
                                                        .appendBytes(bytes)));
        assertThat(mFault).succeedsWithin(TIMEOUT);
        assertThat(closed).succeedsWithin(TIMEOUT);
        CompletableFuture<Void> challenged = new CompletableFuture<>();
        mVertx.createNetClient()
                .connect(mPort, HOST)
                .onSuccess(s -> s.handler(b -> challenged.complete(null)));
        assertThat(challenged).succeedsWithin(TIMEOUT);
    }
}
