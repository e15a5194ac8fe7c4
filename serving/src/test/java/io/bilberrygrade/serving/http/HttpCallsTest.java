package io.bilberrygrade.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpCallsTest {
    private static final String HOST = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_TIME = Duration.ofSeconds(1);

    private final Vertx mVertx = Vertx.vertx();
    private final AtomicInteger mOpened = new AtomicInteger();
    private Address mServer;

    @BeforeEach
    void listen() {
        HttpServer server =
                mVertx.createHttpServer()
                        .connectionHandler(c -> mOpened.incrementAndGet())
                        .requestHandler(r -> r.response().end());
        server.listen(0, HOST).toCompletionStage().toCompletableFuture().join();
        mServer = new Address(HOST, server.actualPort());
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    // Guards against a call that is lost on a connection that went silent long before.
    @Test
    void connectionIsNotUsedAfterItsIdleTime() {
        try (HttpCalls calls =
                new HttpCalls(io.vertx.mutiny.core.Vertx.newInstance(mVertx), IDLE_TIME)) {
            call(calls);
            call(calls);
            assertThat(mOpened).hasValue(1);
            pause(IDLE_TIME.multipliedBy(3));
            call(calls);
            assertThat(mOpened).hasValue(2);
        }
    }

    // Guards against an exception where the caller handles only a failed call.
    @ParameterizedTest
    @ValueSource(strings = {"a\0b", "a\fb", "a\nb"})
    void headerThatCannotBeSentFailsTheCall(String value) {
        try (HttpCalls calls =
                new HttpCalls(io.vertx.mutiny.core.Vertx.newInstance(mVertx), IDLE_TIME)) {
            Uni<HttpAnswer> call =
                    calls.to(mServer, Step.ORDER)
                            .header("Name", value)
                            .send(HttpMethod.GET, "/", TIMEOUT);
            checkNotDelivered(call);
        }
    }

    // Guards against the same after the client was closed.
    @Test
    void closedClientFailsTheCall() {
        HttpCalls calls = new HttpCalls(io.vertx.mutiny.core.Vertx.newInstance(mVertx), IDLE_TIME);
        calls.close();
        Throwable failure =
                failure(calls.to(mServer, Step.ORDER).send(HttpMethod.GET, "/", TIMEOUT));
        assertThat(failure).isInstanceOf(CallException.class);
    }

    private static void checkNotDelivered(Uni<HttpAnswer> call) {
        assertThat(failure(call))
                .isInstanceOfSatisfying(
                        CallException.class,
                        e -> assertThat(e.delivery()).isEqualTo(Delivery.NOT_DELIVERED));
    }

    private static Throwable failure(Uni<HttpAnswer> call) {
        return call.onItem()
                .transform(a -> new Throwable("status " + a.status()))
                .onFailure()
                .recoverWithItem(e -> e)
                .await()
                .atMost(TIMEOUT);
    }

    private void call(HttpCalls calls) {
        calls.to(mServer, Step.ORDER).send(HttpMethod.GET, "/", TIMEOUT).await().atMost(TIMEOUT);
    }

    private static void pause(Duration time) {
        new CompletableFuture<Void>()
                .completeOnTimeout(null, time.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }
}
