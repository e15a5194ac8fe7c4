package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.fencing.EngineReport;
import io.bilberrygrade.core.fencing.LoadSlots;
import io.bilberrygrade.core.fencing.Order;
import io.bilberrygrade.core.fencing.OrderPlan;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.OrderEvent;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderKind;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Reconciles engines with the published configuration: reads their state, sends the missing orders
 * and checks the state again in the next round. Before each order the configuration, the issuer and
 * the time are read again, since the process may have been paused meanwhile. An engine that ignores
 * the fencing token and applied a late order is corrected in the next round.
 */
public final class OrderController {
    /** Interval between rounds. */
    public static final Duration PERIOD = Duration.ofSeconds(2);

    private static final Duration TIMER_RESOLUTION = Duration.ofMillis(1);
    private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(2);
    private static final int CONCURRENT_ENGINES = 8;

    private final ModelEngine mEngine;
    private final Supplier<Deployment> mDeployment;
    private final Predicate<EndpointId> mIsIssuer;
    private final boolean mFenced;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final Map<EndpointId, PendingLoad> mPendingLoads = new HashMap<>();

    /**
     * Creates the controller; {@code isIssuer} returns whether this daemon issues an engine's
     * orders.
     */
    public OrderController(
            ModelEngine engine,
            Supplier<Deployment> deployment,
            Predicate<EndpointId> isIssuer,
            boolean fenced,
            Timers timers,
            InstantSource clock,
            EventLog events) {
        mEngine = engine;
        mDeployment = deployment;
        mIsIssuer = isIssuer;
        mFenced = fenced;
        mTimers = timers;
        mClock = clock;
        mEvents = events;
    }

    /**
     * Reconciles the engines whose orders this daemon issues. Failed calls are retried in the next
     * round.
     */
    public Uni<Void> round() {
        Deployment deployment = mDeployment.get();
        mPendingLoads.keySet().retainAll(deployment.endpoints().keySet());
        return Multi.createFrom()
                .iterable(deployment.endpoints().values())
                .filter(e -> e.kind() instanceof EndpointKind.Engine && mIsIssuer.test(e.id()))
                .onItem()
                .transformToUni(this::reconcile)
                .merge(CONCURRENT_ENGINES)
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> reconcile(Endpoint engine) {
        return mEngine.state(engine)
                .onItem()
                .transformToUni(state -> sendMissing(engine, state))
                .onFailure(CallException.class)
                .recoverWithItem((Void) null);
    }

    private Uni<Void> sendMissing(Endpoint engine, EngineStateDocument state) {
        Deployment planned = mDeployment.get();
        EngineReport report = report(state);
        if (mFenced && report.highestToken() > planned.version()) {
            return Uni.createFrom().voidItem();
        }
        ImmutableList<Order> orders =
                OrderPlan.missing(planned, (EndpointKind.Engine) engine.kind(), report);
        removeFinishedLoad(engine.id(), orders);
        return Multi.createFrom()
                .iterable(orders)
                .filter(order -> !isLoading(engine.id(), order))
                .onItem()
                .transformToUniAndConcatenate(order -> sendInSlot(engine, order, planned, report))
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> sendInSlot(
            Endpoint engine, Order order, Deployment planned, EngineReport report) {
        if (!order.readsWeights()) {
            return send(engine, order, planned, report);
        }
        return mTimers.after(untilSlot(engine.id(), planned).plus(TIMER_RESOLUTION))
                .onItem()
                .transformToUni(
                        v ->
                                untilSlot(engine.id(), planned).isZero()
                                        ? send(engine, order, planned, report)
                                        : Uni.createFrom().voidItem());
    }

    private Duration untilSlot(EndpointId engine, Deployment deployment) {
        ImmutableSortedSet<EndpointId> engines =
                deployment.endpoints().values().stream()
                        .filter(e -> e.kind() instanceof EndpointKind.Engine)
                        .map(Endpoint::id)
                        .collect(
                                ImmutableSortedSet.toImmutableSortedSet(
                                        Comparator.comparing(EndpointId::value)));
        return new LoadSlots(engines, deployment.weightReadsPerSecond())
                .timeUntilOpen(engine, mClock.instant());
    }

    private Uni<Void> send(Endpoint engine, Order order, Deployment planned, EngineReport report) {
        boolean outdated = mDeployment.get().version() != planned.version();
        if (mFenced && (outdated || !mIsIssuer.test(engine.id()))) {
            return Uni.createFrom().voidItem();
        }
        if (order.readsWeights()) {
            mPendingLoads.put(engine.id(), new PendingLoad(order, mClock.instant()));
        }
        long token =
                mFenced ? planned.version() : Math.max(report.highestToken(), planned.version());
        return mEngine.order(engine, document(order, token))
                .invoke(result -> report(engine, order, token, result))
                .replaceWithVoid();
    }

    private void report(Endpoint engine, Order order, long token, OrderResultDocument result) {
        String id = engine.id().value();
        mPendingLoads.remove(engine.id());
        if (result.accepted()) {
            mEvents.record(new OrderEvent.Accepted(id, order.toString(), token));
        } else {
            mEvents.record(new OrderEvent.Refused(id, order.toString(), token, result.reason()));
        }
    }

    private void removeFinishedLoad(EndpointId engine, ImmutableList<Order> missing) {
        PendingLoad load = mPendingLoads.get(engine);
        if (load != null && !missing.contains(load.order())) {
            mPendingLoads.remove(engine);
        }
    }

    /**
     * Returns whether an order must wait because the engine is still reading from the weight store.
     */
    private boolean isLoading(EndpointId engine, Order order) {
        PendingLoad load = mPendingLoads.get(engine);
        return order.readsWeights()
                && load != null
                && mClock.instant().isBefore(load.since().plus(LOAD_TIMEOUT));
    }

    private static EngineReport report(EngineStateDocument state) {
        ImmutableSet<EngineReport.Loaded> loaded =
                state.models().stream()
                        .map(
                                m ->
                                        new EngineReport.Loaded(
                                                new ModelId(m.model()),
                                                Optional.ofNullable(m.adapter()),
                                                m.version()))
                        .collect(ImmutableSet.toImmutableSet());
        return new EngineReport(loaded, state.role(), state.highestFencingToken());
    }

    private static OrderDocument document(Order order, long token) {
        return switch (order) {
            case Order.LoadModel l ->
                    new OrderDocument(
                            OrderKind.LOAD_MODEL, l.model().value(), null, l.version(), "", token);
            case Order.LoadAdapter l ->
                    new OrderDocument(
                            OrderKind.LOAD_ADAPTER,
                            l.model().value(),
                            l.adapter(),
                            l.version(),
                            "",
                            token);
            case Order.UnloadModel u ->
                    new OrderDocument(
                            OrderKind.UNLOAD_MODEL, u.model().value(), null, 0, "", token);
            case Order.SetRole r ->
                    new OrderDocument(OrderKind.SET_ROLE, null, null, 0, r.role(), token);
        };
    }

    private record PendingLoad(Order order, Instant since) {}
}
