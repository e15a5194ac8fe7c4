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
 * Reservations of one gang, released together. A reservation whose answer comes after the release
 * is released as soon as it is known, so that giving up in the middle leaves nothing behind.
 */
final class GangReservations {
    private static final int RELEASE_RETRIES = 4;
    private static final Duration RELEASE_PAUSE = Duration.ofMillis(300);

    private record Held(Endpoint engine, String id) {}

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final InferenceRequest mRequest;
    private final List<Held> mHeld = new ArrayList<>();
    private final Set<EndpointId> mRefusing = new HashSet<>();
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

    /** Reserves on all engines; the ids come in the order of the segments. Fails if any refuses. */
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

    /** Starts a reservation that goes on when nobody waits for it any longer. */
    private Uni<String> reserve(Endpoint engine, ReservationRequest request) {
        CompletionStage<String> reserved =
                mEngine.reserve(engine, request)
                        .map(ReservationDocument::reservationId)
                        .invoke(id -> held(new Held(engine, id)))
                        .onFailure(CallException.class)
                        .invoke(e -> failed(engine, (CallException) e))
                        .subscribeAsCompletionStage();
        return Uni.createFrom().completionStage(reserved.thenApply(Function.identity()));
    }

    private void failed(Endpoint engine, CallException e) {
        mRefusing.add(engine.id());
        if (e.delivery() != Delivery.REFUSED) {
            mEndpoints.failed(engine.id(), mClock.instant());
        }
    }

    /** Returns the engines that did not reserve. */
    ImmutableSet<EndpointId> refusing() {
        return ImmutableSet.copyOf(mRefusing);
    }

    private void held(Held held) {
        if (mReleased) {
            release(held);
        } else {
            mHeld.add(held);
        }
    }

    /** Releases everything, now and whatever is still to come. */
    void releaseAll() {
        mReleased = true;
        mHeld.forEach(this::release);
        mHeld.clear();
    }

    private void release(Held held) {
        release(held, RELEASE_RETRIES)
                .subscribe()
                .with(
                        v -> {},
                        e ->
                                mEvents.record(
                                        new RequestEvent.ReservationLeftBehind(
                                                mRequest.id().value(),
                                                held.engine().id().value(),
                                                held.id(),
                                                e.toString())));
    }

    private Uni<Void> release(Held held, int retries) {
        return mEngine.release(held.engine(), held.id())
                .onFailure(e -> retries > 0)
                .recoverWithUni(
                        () -> mTimers.after(RELEASE_PAUSE).chain(v -> release(held, retries - 1)));
    }
}
