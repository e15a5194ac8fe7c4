package io.bilberrygrade.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
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

    private void call(HttpCalls calls) {
        calls.to(mServer, Step.ORDER).send(HttpMethod.GET, "/", TIMEOUT).await().atMost(TIMEOUT);
    }

    private static void pause(Duration time) {
        new CompletableFuture<Void>()
                .completeOnTimeout(null, time.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }
}
