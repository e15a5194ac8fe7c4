package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.gang.GangPlan;
import io.bilberrygrade.core.gang.GangSegment;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Reservations of one gang, which are released together. A reservation that is confirmed after the
 * release is released at once, so that abandoning an attempt midway leaks none.
 */
final class GangReservations {
    private static final int RELEASE_RETRIES = 4;
    private static final Duration RELEASE_RETRY_DELAY = Duration.ofMillis(300);

    private record Reservation(Endpoint engine, String id) {}

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final InferenceRequest mRequest;
    private final List<Reservation> mReservations = new ArrayList<>();
    private final Set<EndpointId> mFailedEngines = new HashSet<>();
    private boolean mReleased;

    GangReservations(
            ModelEngine engine,
            EndpointController endpoints,
            Timers timers,
            InstantSource clock,
            EventLog events,
            InferenceRequest request) {
        mEngine = engine;
        mEndpoints = endpoints;
        mTimers = timers;
        mClock = clock;
        mEvents = events;
        mRequest = request;
    }

    /**
     * Reserves memory on all engines and returns the reservation ids in the order of the segments.
     * Fails if any call fails.
     */
    Uni<ImmutableList<String>> reserveAll(
            GangPlan plan, int attempt, Incarnation incarnation, Duration remaining) {
        List<Uni<String>> calls = new ArrayList<>();
        for (GangSegment segment : plan.segments()) {
            ReservationRequest request =
                    new ReservationRequest(
                            mRequest.id().value(),
                            attempt,
                            incarnation.value(),
                            segment.reservedTokens(),
                            remaining.toMillis());
            calls.add(reserve(segment.engine().endpoint(), request));
        }
        return Uni.join().all(calls).andCollectFailures().map(ImmutableList::copyOf);
    }

    /**
     * Starts a reservation call that continues even if the returned {@link Uni} is cancelled, so
     * that its id is known and can be released.
     */
    private Uni<String> reserve(Endpoint engine, ReservationRequest request) {
        CompletionStage<String> reserved =
                mEngine.reserve(engine, request)
                        .map(ReservationDocument::reservationId)
                        .invoke(id -> onReserved(new Reservation(engine, id)))
                        .onFailure(CallException.class)
                        .invoke(e -> recordFailure(engine, (CallException) e))
                        .subscribeAsCompletionStage();
        return Uni.createFrom().completionStage(reserved.thenApply(Function.identity()));
    }

    private void recordFailure(Endpoint engine, CallException e) {
        mFailedEngines.add(engine.id());
        if (e.delivery() != Delivery.REFUSED) {
            mEndpoints.failed(engine.id(), mClock.instant());
        }
    }

    /** Returns the engines whose reservation failed. */
    ImmutableSet<EndpointId> failedEngines() {
        return ImmutableSet.copyOf(mFailedEngines);
    }

    private void onReserved(Reservation reservation) {
        if (mReleased) {
            release(reservation);
        } else {
            mReservations.add(reservation);
        }
    }

    /** Releases all reservations, including those that are confirmed later. */
    void releaseAll() {
        mReleased = true;
        mReservations.forEach(this::release);
        mReservations.clear();
    }

    private void release(Reservation reservation) {
        release(reservation, RELEASE_RETRIES)
                .subscribe()
                .with(
                        v -> {},
                        e ->
                                mEvents.record(
                                        new RequestEvent.ReservationLeftBehind(
                                                mRequest.id().value(),
                                                reservation.engine().id().value(),
                                                reservation.id(),
                                                e.toString())));
    }

    private Uni<Void> release(Reservation reservation, int retries) {
        return mEngine.release(reservation.engine(), reservation.id())
                .onFailure(e -> retries > 0)
                .recoverWithUni(
                        () ->
                                mTimers.after(RELEASE_RETRY_DELAY)
                                        .chain(v -> release(reservation, retries - 1)));
    }
}
