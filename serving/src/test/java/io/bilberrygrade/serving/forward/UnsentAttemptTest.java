package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that fail before they return, or by throwing: the attempt was lost, and its
 * request waited until its deadline.
 */
final class UnsentAttemptTest {
    private static final int TIMEOUT_SECONDS = 15;
    private static final String HOST = "127.0.0.1";
    private static final int UNUSED_PORT = 9;

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void close() {
        join(mVertx.close());
    }

    @Test
    void attemptFailsIfItsClientIsClosed() {
        AttemptFixture attempts = new AttemptFixture(mVertx, new NoHeaders());
        attempts.context().client().close();
        checkNotDelivered(attempts, UNUSED_PORT);
    }

    @Test
    void attemptFailsIfItsHeadersAreRefused() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        NetServer endpoint =
                mVertx.createNetServer()
                        .connectHandler(s -> s.closeHandler(v -> closed.complete(null)));
        int port = join(endpoint.listen(0, HOST)).actualPort();
        checkNotDelivered(new AttemptFixture(mVertx, new RefusedHeaders()), port);
        join(closed);
    }

    private void checkNotDelivered(AttemptFixture attempts, int port) {
        mVertx.runOnContext(v -> attempts.start(port));
        assertThat(join(attempts.failed())).isEqualTo(Delivery.NOT_DELIVERED);
        assertThat(attempts.events()).hasSize(1);
        assertThat(attempts.events()).allMatch(e -> e instanceof ForwardEvent.AttemptFailed);
    }

    @Test
    void closedClientCantTellWhetherAnEndpointRefusesConnections() {
        AttemptFixture attempts = new AttemptFixture(mVertx, new NoHeaders());
        attempts.context().client().close();
        Uni<Boolean> refused =
                attempts.context().client().refusesConnections(new Address(HOST, UNUSED_PORT));
        assertThat(refused.await().atMost(Duration.ofSeconds(TIMEOUT_SECONDS))).isFalse();
    }

    private static <T> T join(Future<T> future) {
        return join(future.toCompletionStage().toCompletableFuture());
    }

    private static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private static final class RefusedHeaders implements ForwardProtocol {
        @Override
        public RequestHead readRequest(HttpServerRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public MultiMap writeRequest(RequestHead head, AttemptRequest attemptRequest) {
            return MultiMap.caseInsensitiveMultiMap().set("name", "a\0b");
        }

        @Override
        public MultiMap writeHandOver(
                RequestHead head, Duration timeLeft, Optional<Long> resumeAfter) {
            throw new UnsupportedOperationException();
        }

        @Override
        public AnswerHead readAnswer(int status, MultiMap headers) {
            throw new UnsupportedOperationException();
        }
    }
}
