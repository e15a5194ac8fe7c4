package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.gang.GangPlan;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Serves a prompt by a gang of engines: plans, requests a grant, reserves memory on all of them,
 * prefills segment by segment and generates on the last. If a reservation is refused, the others
 * are released and a new plan is made after a backoff, until the request's deadline.
 */
public final class GangDispatcher {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(800);
    private static final Duration MAX_GRANT_LIFETIME = Duration.ofMinutes(2);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final Optional<GangController> mStewards;
    private final Incarnation mIncarnation;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;

    /** Creates the dispatcher; without stewards it reserves memory without requesting grants. */
    public GangDispatcher(
            ModelEngine engine,
            EndpointController endpoints,
            PlacementController placement,
            Optional<GangController> stewards,
            Incarnation incarnation,
            Timers timers,
            InstantSource clock,
            UniformRandomProvider random,
            EventLog events) {
        mEngine = engine;
        mEndpoints = endpoints;
        mPlacement = placement;
        mStewards = stewards;
        mIncarnation = incarnation;
        mTimers = timers;
        mClock = clock;
        mRandom = random;
        mEvents = events;
    }

    /**
     * Runs one attempt; {@code generate} runs the last engine's part. All reservations are released
     * on completion, failure or cancellation.
     */
    public Uni<Outcome> run(GangCall call, Function<GangMember, Uni<Outcome>> generate) {
        return round(call, generate, ImmutableSet.of(), 0);
    }

    private Uni<Outcome> round(
            GangCall call,
            Function<GangMember, Uni<Outcome>> generate,
            ImmutableSet<EndpointId> busy,
            int round) {
        Optional<GangPlan> plan =
                mPlacement.planGang(call.deployment(), call.request(), busy, mClock.instant());
        if (plan.isEmpty()) {
            return backOff(round).chain(v -> round(call, generate, ImmutableSet.of(), round + 1));
        }
        return grant(call, plan.get())
                .chain(
                        busyEngines ->
                                busyEngines.isEmpty()
                                        ? reserve(call, generate, plan.get(), round)
                                        : backOff(round)
                                                .chain(
                                                        v ->
                                                                round(
                                                                        call,
                                                                        generate,
                                                                        busyEngines,
                                                                        round + 1)));
    }

    private Uni<ImmutableSet<EndpointId>> grant(GangCall call, GangPlan plan) {
        Duration remaining = call.request().remaining(mClock.instant());
        Duration lifetime =
                remaining.compareTo(MAX_GRANT_LIFETIME) < 0 ? remaining : MAX_GRANT_LIFETIME;
        return mStewards
                .map(s -> s.request(call.request(), plan, lifetime))
                .orElseGet(() -> Uni.createFrom().item(ImmutableSet.of()));
    }

    private Uni<Outcome> reserve(
            GangCall call, Function<GangMember, Uni<Outcome>> generate, GangPlan plan, int round) {
        GangReservations reservations =
                new GangReservations(mEngine, mEndpoints, mTimers, mClock, mEvents, call.request());
        Duration remaining = call.request().remaining(mClock.instant());
        return reservations
                .reserveAll(plan, call.attempt(), mIncarnation, remaining)
                .map(Optional::of)
                .onFailure()
                .recoverWithItem(Optional.empty())
                .chain(ids -> start(call, generate, plan, ids))
                .onTermination()
                .invoke(() -> release(call, plan, reservations))
                .chain(
                        outcome ->
                                outcome.isPresent()
                                        ? Uni.createFrom().item(outcome.get())
                                        : backOff(round)
                                                .chain(
                                                        v ->
                                                                round(
                                                                        call,
                                                                        generate,
                                                                        reservations
                                                                                .failedEngines(),
                                                                        round + 1)));
    }

    private Uni<Optional<Outcome>> start(
            GangCall call,
            Function<GangMember, Uni<Outcome>> generate,
            GangPlan plan,
            Optional<ImmutableList<String>> ids) {
        if (ids.isEmpty()) {
            return Uni.createFrom().item(Optional.empty());
        }
        call.onStarted().run();
        mEvents.record(
                new RequestEvent.GangStarted(
                        call.request().id().value(),
                        call.attempt(),
                        plan.dataCentre().value(),
                        plan.engines().toString()));
        return new GangPrefill(mEngine, mEndpoints, mPlacement, mClock, call, plan, ids.get())
                .run()
                .chain(generate::apply)
                .map(Optional::of);
    }

    private void release(GangCall call, GangPlan plan, GangReservations reservations) {
        reservations.releaseAll();
        mStewards.ifPresent(
                s -> s.release(call.request(), plan).subscribe().with(v -> {}, e -> {}));
    }

    private Uni<Void> backOff(int round) {
        Duration exponential =
                INITIAL_BACKOFF.multipliedBy(1L << Math.min(round, MAX_BACKOFF_DOUBLINGS));
        Duration bounded = exponential.compareTo(MAX_BACKOFF) < 0 ? exponential : MAX_BACKOFF;
        long millis = Math.round(bounded.toMillis() * (0.5 + 0.5 * mRandom.nextDouble()));
        return mTimers.after(Duration.ofMillis(millis));
    }
}
