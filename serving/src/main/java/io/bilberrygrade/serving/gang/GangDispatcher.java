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
 * Serves a prompt by a gang of engines: plans, asks for a grant, reserves on all of them, prefills
 * segment by segment and generates on the last. A refused reservation releases the others and
 * starts over after a pause, until the request's deadline ends it.
 */
public final class GangDispatcher {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final Duration MAX_PAUSE = Duration.ofMillis(800);
    private static final Duration MAX_GRANT = Duration.ofMinutes(2);
    private static final int MAX_DOUBLINGS = 4;

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final Optional<GangController> mStewards;
    private final Incarnation mIncarnation;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;

    /** Creates the dispatcher; without stewards it reserves without asking for grants. */
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
     * Runs one attempt; {@code generate} runs the last engine's part. Whatever the ending, also
     * when the subscription is cancelled, everything that was reserved is released.
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
            return pause(round).chain(v -> round(call, generate, ImmutableSet.of(), round + 1));
        }
        return grant(call, plan.get())
                .chain(
                        taken ->
                                taken.isEmpty()
                                        ? reserve(call, generate, plan.get(), round)
                                        : pause(round)
                                                .chain(
                                                        v ->
                                                                round(
                                                                        call, generate, taken,
                                                                        round + 1)));
    }

    private Uni<ImmutableSet<EndpointId>> grant(GangCall call, GangPlan plan) {
        Duration remaining = call.request().remaining(mClock.instant());
        Duration lifetime = remaining.compareTo(MAX_GRANT) < 0 ? remaining : MAX_GRANT;
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
                                        : pause(round)
                                                .chain(
                                                        v ->
                                                                round(
                                                                        call,
                                                                        generate,
                                                                        reservations.refusing(),
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

    private Uni<Void> pause(int round) {
        Duration longest = FIRST_PAUSE.multipliedBy(1L << Math.min(round, MAX_DOUBLINGS));
        Duration bounded = longest.compareTo(MAX_PAUSE) < 0 ? longest : MAX_PAUSE;
        long millis = Math.round(bounded.toMillis() * (0.5 + 0.5 * mRandom.nextDouble()));
        return mTimers.after(Duration.ofMillis(millis));
    }
}
