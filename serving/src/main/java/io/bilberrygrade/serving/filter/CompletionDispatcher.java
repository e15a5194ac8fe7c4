package io.bilberrygrade.serving.filter;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.engine.EngineProbes;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Runs a completion on an engine and, when an engine fails in the middle, resumes the answer at its
 * token offset on another one, as long as the deadline allows.
 */
public final class CompletionDispatcher {
    private static final int MAX_ATTEMPTS = 4;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration PLACEMENT_INTERVAL = Duration.ofMillis(100);

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final Incarnation mIncarnation;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final EventLog mEvents;
    private final StallGuard mStalls;
    private final boolean mResumes;

    /** Creates the dispatcher. */
    public CompletionDispatcher(
            ModelEngine engine,
            EndpointController endpoints,
            PlacementController placement,
            Incarnation incarnation,
            Timers timers,
            InstantSource clock,
            EventLog events,
            boolean resumes) {
        mEngine = engine;
        mEndpoints = endpoints;
        mPlacement = placement;
        mIncarnation = incarnation;
        mTimers = timers;
        mClock = clock;
        mEvents = events;
        mStalls = new StallGuard(new EngineProbes(engine, timers), timers, clock);
        mResumes = resumes;
    }

    /** Runs the request to its final outcome. */
    public Uni<Outcome> dispatch(Exchange exchange, InferenceRequest request) {
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
        Optional<Placement> chosen = place(exchange, request);
        if (chosen.isPresent()) {
            return attempt(exchange, request, progress, chosen.get());
        }
        if (!progress.mayHaveRun()) {
            return Uni.createFrom().item(noEndpoint(progress));
        }
        return Uni.createFrom()
                .deferred(() -> mTimers.after(PLACEMENT_INTERVAL))
                .map(v -> place(exchange, request))
                .repeat()
                .whilst(Optional::isEmpty)
                .collect()
                .last()
                .onItem()
                .transformToUni(p -> attempt(exchange, request, progress, p.orElseThrow()));
    }

    private Optional<Placement> place(Exchange exchange, InferenceRequest request) {
        return mPlacement.place(exchange.deployment(), request, mClock.instant());
    }

    private Uni<Outcome> attempt(
            Exchange exchange,
            InferenceRequest request,
            AnswerProgress progress,
            Placement placement) {
        Endpoint endpoint = placement.endpoint().endpoint();
        int number = progress.startAttempt();
        return new Attempt(mEngine, mEndpoints, mStalls, mClock, endpoint, progress)
                .run(call(exchange, request, progress, number, placement.priority()))
                .onFailure(CallException.class)
                .recoverWithUni(
                        e -> failed(exchange, request, progress, number, (CallException) e));
    }

    private GenerateCall call(
            Exchange exchange,
            InferenceRequest request,
            AnswerProgress progress,
            int number,
            int priority) {
        return new GenerateCall(
                request,
                number,
                mIncarnation,
                priority,
                request.remaining(mClock.instant()),
                progress.nextOffset(),
                Optional.empty(),
                ImmutableList.of(),
                exchange.body());
    }

    private Uni<Outcome> failed(
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
        if (Attempt.tooLate(request, mClock.instant())) {
            return Uni.createFrom().item(deadlinePast(progress));
        }
        if (number == MAX_ATTEMPTS) {
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
