package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.RoomEvent;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Attempts whose connections open after the data centre of the endpoint, or of a helper, was
 * evacuated. Guards against requests that are written in that moment.
 */
final class EvacuatedSendTest {
    private static final int TIMEOUT_SECONDS = 15;

    private final Vertx mVertx = Vertx.vertx();
    private final CompletableFuture<Long> mReceived = new CompletableFuture<>();
    private final AttemptFixture mAttempts = new AttemptFixture(mVertx, new NoHeaders());

    @AfterEach
    void close() {
        join(mVertx.close());
    }

    private static <T> T join(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Starts an endpoint that closes a connection once it has received bytes. */
    private NetServer listen() {
        return join(
                mVertx.createNetServer()
                        .connectHandler(
                                s -> {
                                    long[] bytes = {0};
                                    s.handler(
                                            b -> {
                                                bytes[0] += b.length();
                                                s.close();
                                            });
                                    s.closeHandler(v -> mReceived.complete(bytes[0]));
                                })
                        .listen(0, "127.0.0.1"));
    }

    /** Starts an attempt and marks a data centre in the same step, before the connection opens. */
    private void sendAndMark(String dataCentre) {
        int port = listen().actualPort();
        mVertx.runOnContext(
                v -> {
                    mAttempts.start(port);
                    mAttempts
                            .context()
                            .state()
                            .evacuations()
                            .onChange(new DataCentreId(dataCentre), new StorePosition(1, 1), true);
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"z", "y"})
    void nothingIsWrittenOnceTheDataCentreIsMarked(String dataCentre) {
        sendAndMark(dataCentre);
        assertThat(mAttempts.failed().orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join())
                .isEqualTo(Delivery.NOT_DELIVERED);
        assertThat(mReceived.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isZero();
        assertThat(mAttempts.events()).anyMatch(e -> e instanceof RoomEvent.SendStopped);
    }

    @Test
    void requestIsWrittenIfAnotherDataCentreIsMarked() {
        sendAndMark("x");
        assertThat(mReceived.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isPositive();
        assertThat(mAttempts.events()).noneMatch(e -> e instanceof RoomEvent.SendStopped);
    }
}
