package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.controller.AdmissionController;
import io.bilberrygrade.serving.controller.Dispatch;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.engine.EngineProbes;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.gang.GangCall;
import io.bilberrygrade.serving.gang.GangDispatcher;
import io.bilberrygrade.serving.gang.GangMember;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Runs a completion on an engine. If the engine fails midway, resumes the answer at its token
 * offset on another one, while the deadline allows.
 */
public final class CompletionDispatcher {
    private static final int MAX_ATTEMPTS = 4;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration PLACEMENT_RETRY_INTERVAL = Duration.ofMillis(100);

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final GangDispatcher mGangs;
    private final FirstTokenTimeout mFirstTokenTimeout;
    private final AdmissionController mAdmission;
    private final Incarnation mIncarnation;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final StallDetector mStallDetector;
    private final boolean mResumes;

    /** Creates the dispatcher. */
    public CompletionDispatcher(
            ModelEngine engine,
            EndpointController endpoints,
            PlacementController placement,
            GangDispatcher gangs,
            FirstTokenTimeout firstTokenTimeout,
            AdmissionController admission,
            Incarnation incarnation,
            Timers timers,
            InstantSource clock,
            EventLog events,
            boolean resumes) {
        mEngine = engine;
        mEndpoints = endpoints;
        mPlacement = placement;
        mGangs = gangs;
        mFirstTokenTimeout = firstTokenTimeout;
        mAdmission = admission;
        mIncarnation = incarnation;
        mTimers = timers;
        mClock = clock;
        mEvents = events;
        mStallDetector = new StallDetector(new EngineProbes(engine, timers), timers, clock);
        mResumes = resumes;
    }

    /** Runs the request to its final outcome. */
    public Uni<Outcome> dispatch(Exchange exchange, InferenceRequest request) {
        Optional<Outcome> refusal =
                mAdmission.checkAdmission(exchange.deployment(), request, mClock.instant());
        if (refusal.isPresent()) {
            return Uni.createFrom().item(refusal.get());
        }
        mAdmission.recordAdmitted(mClock.instant());
        AnswerProgress progress = new AnswerProgress(exchange.sink(), mResumes);
        Uni<Outcome> deadline =
                mTimers.after(request.remaining(mClock.instant())).map(v -> deadlinePast(progress));
        Uni<Outcome> gone =
                Uni.createFrom()
                        .emitter(e -> exchange.sink().onCallerGone(() -> e.complete(callerGone())));
        return Uni.join().first(attempt(exchange, request, progress), deadline, gone).toTerminate();
    }

    private Uni<Outcome> attempt(
            Exchange exchange, InferenceRequest request, AnswerProgress progress) {
        int number = progress.startAttempt();
        return run(exchange, request, progress, number)
                .onFailure(CallException.class)
                .recoverWithUni(
                        e -> retryOrFail(exchange, request, progress, number, (CallException) e));
    }

    private Uni<Outcome> run(
            Exchange exchange, InferenceRequest request, AnswerProgress progress, int number) {
        Instant now = mClock.instant();
        if (mPlacement.needsGang(exchange.deployment(), request, now)) {
            return runGang(exchange, request, progress, number);
        }
        Optional<Placement> chosen = place(exchange, request);
        if (chosen.isPresent()) {
            return generate(
                    exchange, request, progress, number, GangMember.singleEngine(chosen.get()));
        }
        if (!progress.mayHaveRun()) {
            return Uni.createFrom().item(noEndpoint(progress));
        }
        return awaitPlacement(exchange, request)
                .onItem()
                .transformToUni(
                        p ->
                                generate(
                                        exchange,
                                        request,
                                        progress,
                                        number,
                                        GangMember.singleEngine(p)));
    }

    /**
     * Waits until an engine is available to resume a partial answer; the deadline ends the wait.
     */
    private Uni<Placement> awaitPlacement(Exchange exchange, InferenceRequest request) {
        return Uni.createFrom()
                .deferred(() -> mTimers.after(PLACEMENT_RETRY_INTERVAL))
                .map(v -> place(exchange, request))
                .repeat()
                .whilst(Optional::isEmpty)
                .collect()
                .last()
                .map(Optional::orElseThrow);
    }

    private Optional<Placement> place(Exchange exchange, InferenceRequest request) {
        return mPlacement.place(exchange.deployment(), request, mClock.instant());
    }

    private Uni<Outcome> runGang(
            Exchange exchange, InferenceRequest request, AnswerProgress progress, int number) {
        if (!mPlacement.hasMemoryForGang(exchange.deployment(), request, mClock.instant())) {
            String detail = "no data centre has engines enough for the prompt";
            return Uni.createFrom().item(Outcome.notRun(Step.ROUTE, Reason.TOO_LARGE, detail));
        }
        GangCall call =
                new GangCall(
                        exchange.deployment(),
                        request,
                        exchange.body(),
                        number,
                        progress::markMayHaveRun);
        return mGangs.run(call, m -> generate(exchange, request, progress, number, m));
    }

    private Uni<Outcome> generate(
            Exchange exchange,
            InferenceRequest request,
            AnswerProgress progress,
            int number,
            GangMember member) {
        Placement placement = member.placement();
        Endpoint endpoint = placement.endpoint().endpoint();
        Dispatch dispatch =
                mEndpoints.recordDispatch(
                        exchange.deployment(),
                        request.model(),
                        placement,
                        request.prompt(),
                        mClock.instant());
        return new Attempt(
                        mEngine,
                        mEndpoints,
                        mStallDetector,
                        mTimers,
                        mClock,
                        endpoint,
                        dispatch,
                        progress)
                .run(
                        call(exchange, request, progress, number, member),
                        mFirstTokenTimeout.of(
                                placement, number, request.remaining(mClock.instant())));
    }

    private GenerateCall call(
            Exchange exchange,
            InferenceRequest request,
            AnswerProgress progress,
            int number,
            GangMember member) {
        return new GenerateCall(
                request,
                number,
                mIncarnation,
                member.placement().priority(),
                request.remaining(mClock.instant()),
                progress.nextOffset(),
                member.reservationId(),
                member.imports(),
                exchange.body());
    }

    private Uni<Outcome> retryOrFail(
            Exchange exchange,
            InferenceRequest request,
            AnswerProgress progress,
            int number,
            CallException e) {
        mEvents.record(
                new RequestEvent.AttemptFailed(
                        request.id().value(),
                        number,
                        e.peer(),
                        progress.nextOffset(),
                        e.getMessage()));
        if (Attempt.isTooLate(request, mClock.instant())) {
            return Uni.createFrom().item(deadlinePast(progress));
        }
        if (number == MAX_ATTEMPTS || !mAdmission.tryRetry(mClock.instant())) {
            return Uni.createFrom().item(exhausted(progress, e));
        }
        return attempt(exchange, request, progress);
    }

    private static Outcome noEndpoint(AnswerProgress progress) {
        String detail = "no engine is available";
        if (progress.mayHaveRun()) {
            return Outcome.unknown(Step.ROUTE, Reason.NO_ENDPOINT, detail, "");
        }
        return Outcome.notRun(Step.ROUTE, Reason.NO_ENDPOINT, detail, RETRY_AFTER);
    }

    private static Outcome exhausted(AnswerProgress progress, CallException e) {
        if (progress.mayHaveRun()) {
            return Outcome.unknown(e.step(), Reason.ENDPOINT_FAILED, e.getMessage(), e.peer());
        }
        return Outcome.notRun(e.step(), Reason.ENDPOINT_REFUSED, e.getMessage(), RETRY_AFTER);
    }

    private static Outcome deadlinePast(AnswerProgress progress) {
        String detail = "the deadline passed";
        if (progress.mayHaveRun()) {
            return Outcome.unknown(Step.RELAY, Reason.DEADLINE_PAST, detail, "");
        }
        return Outcome.notRun(Step.DISPATCH, Reason.DEADLINE_PAST, detail, RETRY_AFTER);
    }

    private static Outcome callerGone() {
        return Outcome.unknown(Step.RELAY, Reason.CALLER_GONE, "the caller went away", "");
    }
}
