package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.forward.WeightedService;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.cost.CostController;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.RoomEvent;
import io.bilberrygrade.serving.time.VertxTimers;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
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
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final int TIMEOUT_SECONDS = 15;

    private final Vertx mVertx = Vertx.vertx();
    private final List<Event> mEvents = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Long> mReceived = new CompletableFuture<>();
    private final CompletableFuture<Delivery> mFailed = new CompletableFuture<>();

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

    private static RegisteredEndpoint endpoint(String id, String dataCentre, int port) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                1,
                SERVICE,
                new Address("127.0.0.1", port),
                new DataCentreId(dataCentre),
                4,
                false);
    }

    private ForwardContext context() {
        Clocks clocks = new Clocks(InstantSource.system(), InstantSource.system());
        VertxTimers timers = new VertxTimers(mVertx);
        StateController state =
                new StateController(Duration.ofSeconds(5), clocks, timers, mEvents::add);
        FleetView fleet =
                new FleetView(new FleetMember(new Address("10.0.0.1", 1), 1), ImmutableList.of());
        return new ForwardContext(
                state,
                new EndpointTracker(state.endpoints(), new WorkLedger()),
                null,
                null,
                null,
                new EndpointClient(mVertx, new NoHeaders()),
                null,
                null,
                new QuarantineController(fleet, mEvents::add),
                null,
                new CostController(
                        () -> FleetTraits.NONE,
                        new WorkLedger().receivedSums(),
                        mEvents::add,
                        new MetricRegistry()),
                clocks,
                timers,
                null,
                mEvents::add,
                () -> FleetTraits.NONE,
                null);
    }

    private static ForwardExchange exchange() {
        RequestHead head =
                new RequestHead(
                        HttpMethod.POST,
                        "/",
                        "h",
                        Optional.of("id"),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        ImmutableSet.of(),
                        Optional.empty(),
                        Optional.empty(),
                        MultiMap.caseInsensitiveMultiMap());
        ForwardExchange exchange =
                new ForwardExchange(
                        new RequestId("r"),
                        head,
                        Buffer.buffer("body"),
                        Instant.now(),
                        Optional.empty(),
                        null);
        exchange.setRoute(
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.NON_IDEMPOTENT,
                        false,
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(1),
                        Optional.empty(),
                        1,
                        true,
                        ImmutableList.of(new WeightedService(SERVICE, 1))));
        return exchange;
    }

    /** Starts an attempt and marks a data centre in the same step, before the connection opens. */
    private void sendAndMark(String dataCentre) {
        RegisteredEndpoint first = endpoint("a", "z", listen().actualPort());
        AttemptPlan attemptPlan =
                new AttemptPlan(
                        first,
                        ImmutableList.of(endpoint("h", "y", 1)),
                        ImmutableMap.of(),
                        AttemptWork.plain(first),
                        0,
                        EndpointWork.NONE,
                        1,
                        Optional.empty());
        ForwardContext context = context();
        mVertx.runOnContext(
                v -> {
                    new ForwardAttempt(
                                    context,
                                    exchange(),
                                    attemptPlan,
                                    ImmutableList.of(),
                                    1,
                                    true,
                                    new AnswerRelay(null, Optional.empty()),
                                    new FailureListener(mFailed))
                            .start(Duration.ofSeconds(3));
                    context.state()
                            .evacuations()
                            .onChange(new DataCentreId(dataCentre), new StorePosition(1, 1), true);
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"z", "y"})
    void nothingIsWrittenOnceTheDataCentreIsMarked(String dataCentre) {
        sendAndMark(dataCentre);
        assertThat(mFailed.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join())
                .isEqualTo(Delivery.NOT_DELIVERED);
        assertThat(mReceived.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isZero();
        assertThat(mEvents).anyMatch(e -> e instanceof RoomEvent.SendStopped);
    }

    @Test
    void requestIsWrittenIfAnotherDataCentreIsMarked() {
        sendAndMark("x");
        assertThat(mReceived.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isPositive();
        assertThat(mEvents).noneMatch(e -> e instanceof RoomEvent.SendStopped);
    }

    private record FailureListener(CompletableFuture<Delivery> failed) implements AttemptOwner {
        @Override
        public void onFailed(ForwardAttempt attempt, Delivery delivery, String detail) {
            failed.complete(delivery);
        }

        @Override
        public void onCrashedEndpoint(ForwardAttempt attempt, String detail) {}

        @Override
        public boolean trySendElsewhere(Instant now) {
            return false;
        }

        @Override
        public boolean isOnlyAttempt() {
            return true;
        }

        @Override
        public void onRelayed(ForwardAttempt attempt) {}

        @Override
        public void onErrorAnswer(ForwardAttempt attempt, AnswerHead head, AnswerBody body) {}

        @Override
        public void onCallerTooSlow() {}

        @Override
        public void onAnswered(long eventCount, Instant firstEventAt) {}
    }

    /** Protocol without headers. */
    private static final class NoHeaders implements ForwardProtocol {
        @Override
        public RequestHead readRequest(HttpServerRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public MultiMap writeRequest(RequestHead head, AttemptRequest attemptRequest) {
            return MultiMap.caseInsensitiveMultiMap();
        }

        @Override
        public AnswerHead readAnswer(int status, MultiMap headers) {
            throw new UnsupportedOperationException();
        }
    }
}
