package io.bilberrygrade.serving.forward;

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
import io.bilberrygrade.serving.relay.ReachController;
import io.bilberrygrade.serving.time.VertxTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Starts attempts without the daemon around them, and records how they fail. */
final class AttemptFixture {
    private static final ServiceId SERVICE = new ServiceId("s");

    private final Vertx mVertx;
    private final List<Event> mEvents = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Delivery> mFailed = new CompletableFuture<>();
    private final ForwardContext mContext;

    AttemptFixture(Vertx vertx, ForwardProtocol protocol) {
        mVertx = vertx;
        mContext = newContext(protocol);
    }

    ForwardContext context() {
        return mContext;
    }

    List<Event> events() {
        return mEvents;
    }

    /** Returns how the attempt failed, once it has. */
    CompletableFuture<Delivery> failed() {
        return mFailed;
    }

    /** Starts an attempt at a port of this machine, in data centre z, with a helper in y. */
    void start(int port) {
        RegisteredEndpoint first = endpoint("a", "z", port);
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
        new ForwardAttempt(
                        mContext,
                        exchange(),
                        attemptPlan,
                        ImmutableList.of(),
                        1,
                        true,
                        new AnswerRelay(null, Optional.empty()),
                        new FailureListener(mFailed))
                .start(Duration.ofSeconds(3));
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

    private ForwardContext newContext(ForwardProtocol protocol) {
        Clocks clocks = new Clocks(InstantSource.system(), InstantSource.system());
        VertxTimers timers = new VertxTimers(mVertx);
        StateController state =
                new StateController(Duration.ofSeconds(5), clocks, timers, mEvents::add);
        FleetView fleet =
                new FleetView(new FleetMember(new Address("127.0.0.1", 1), 1), ImmutableList.of());
        return new ForwardContext(
                state,
                new EndpointTracker(state.endpoints(), new WorkLedger()),
                null,
                null,
                null,
                new EndpointClient(mVertx, protocol),
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
                null,
                protocol,
                reach(clocks, timers),
                null);
    }

    /** Returns a controller that hands nothing over. */
    private ReachController reach(Clocks clocks, VertxTimers timers) {
        return new ReachController(
                Optional.empty(),
                ImmutableList::of,
                a -> Uni.createFrom().item(true),
                clocks::now,
                timers,
                null,
                mEvents::add);
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

    private record FailureListener(CompletableFuture<Delivery> failed) implements AttemptOwner {
        @Override
        public void onFailed(AttemptsInFlight.Attempt attempt, Delivery delivery, String detail) {
            failed.complete(delivery);
        }

        @Override
        public void onCrashedEndpoint(AttemptsInFlight.Attempt attempt, String detail) {}

        @Override
        public boolean trySendElsewhere(Instant now) {
            return false;
        }

        @Override
        public boolean isOnlyAttempt() {
            return true;
        }

        @Override
        public void onRelayed(AttemptsInFlight.Attempt attempt) {}

        @Override
        public void onErrorAnswer(
                AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body) {}

        @Override
        public void onPeerRefusal(
                AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body) {}

        @Override
        public void onCallerTooSlow() {}

        @Override
        public void onAnswered(long eventCount, Instant firstEventAt) {}
    }
}
