package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.reclaim.HeldMemory;
import io.bilberrygrade.core.reclaim.OrphanPolicy;
import io.bilberrygrade.core.reclaim.OrphanReason;
import io.bilberrygrade.core.reclaim.SweepSchedule;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.OrderEvent;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.SessionDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Releases memory that engines hold for requests of daemons that have ended. The requests are read
 * from the engines' own lists, so that a daemon needs no record of other daemons' requests, and
 * releasing is idempotent, so that two daemons may do it at once.
 */
public final class ReclaimController {
    /** Interval between sweeps. */
    public static final Duration PERIOD = Duration.ofSeconds(5);

    private final InstanceId mSelf;
    private final ModelEngine mEngine;
    private final MembershipController mMembership;
    private final Supplier<Deployment> mDeployment;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private long mRound;

    /** Creates the controller. */
    public ReclaimController(
            InstanceId self,
            ModelEngine engine,
            MembershipController membership,
            Supplier<Deployment> deployment,
            InstantSource clock,
            EventLog events) {
        mSelf = self;
        mEngine = engine;
        mMembership = membership;
        mDeployment = deployment;
        mClock = clock;
        mEvents = events;
    }

    /** Sweeps the engines scheduled for this round. Failed calls are retried in a later sweep. */
    public Uni<Void> sweep() {
        ImmutableMap<EndpointId, Endpoint> engines =
                mDeployment.get().endpoints().entrySet().stream()
                        .filter(e -> e.getValue().kind() instanceof EndpointKind.Engine)
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        Map.Entry::getKey, Map.Entry::getValue));
        int daemons = mMembership.alive(mClock.instant()).size() + 1;
        ImmutableList<EndpointId> chosen =
                SweepSchedule.round(engines.keySet(), mSelf, daemons, mRound++);
        return Multi.createFrom()
                .iterable(chosen)
                .onItem()
                .transformToUniAndConcatenate(id -> sweep(engines.get(id)))
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> sweep(Endpoint engine) {
        return mEngine.state(engine)
                .onItem()
                .transformToUni(state -> release(engine, state))
                .onFailure(CallException.class)
                .recoverWithItem((Void) null);
    }

    private Uni<Void> release(Endpoint engine, EngineStateDocument state) {
        Multi<Uni<Void>> reservations =
                Multi.createFrom()
                        .iterable(state.reservations())
                        .map(reservation -> release(engine, reservation));
        Multi<Uni<Void>> sessions =
                Multi.createFrom()
                        .iterable(state.sessions())
                        .map(session -> cancel(engine, session));
        return Multi.createBy()
                .concatenating()
                .streams(reservations, sessions)
                .onItem()
                .transformToUniAndConcatenate(release -> release)
                .collect()
                .asList()
                .replaceWithVoid();
    }

    private Uni<Void> release(Endpoint engine, ReservationDocument r) {
        return orphanReason(r.requestId(), r.incarnation(), r.remainingMillis())
                .map(
                        reason ->
                                mEngine.release(engine, r.reservationId())
                                        .invoke(
                                                () ->
                                                        report(
                                                                engine,
                                                                r.requestId(),
                                                                r.tokens(),
                                                                reason)))
                .orElseGet(() -> Uni.createFrom().voidItem());
    }

    private Uni<Void> cancel(Endpoint engine, SessionDocument s) {
        return orphanReason(s.requestId(), s.incarnation(), s.remainingMillis())
                .map(
                        reason ->
                                mEngine.cancel(engine, new RequestId(s.requestId()), s.attempt())
                                        .invoke(() -> report(engine, s.requestId(), 0, reason)))
                .orElseGet(() -> Uni.createFrom().voidItem());
    }

    private Optional<OrphanReason> orphanReason(
            String requestId, long incarnation, long remainingMillis) {
        return OrphanPolicy.findOrphanReason(
                HeldMemory.of(requestId, incarnation, Duration.ofMillis(remainingMillis)),
                mMembership::hasEnded);
    }

    private void report(Endpoint engine, String requestId, long tokens, OrphanReason reason) {
        mEvents.record(
                new OrderEvent.Reclaimed(engine.id().value(), requestId, tokens, reason.name()));
    }
}
