package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.engine.EngineEvent;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** One attempt to run a completion on one engine. */
final class Attempt {
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final StallGuard mStalls;
    private final InstantSource mClock;
    private final Endpoint mEndpoint;
    private final AnswerProgress mProgress;
    private final Heartbeat mHeartbeat;
    private int mNumber;
    private long mQueuedTokens;

    Attempt(
            ModelEngine engine,
            EndpointController endpoints,
            StallGuard stalls,
            InstantSource clock,
            Endpoint endpoint,
            AnswerProgress progress) {
        mEngine = engine;
        mEndpoints = endpoints;
        mStalls = stalls;
        mClock = clock;
        mEndpoint = endpoint;
        mProgress = progress;
        mHeartbeat = new Heartbeat(clock.instant());
    }

    /**
     * Returns whether no attempt can succeed any more. Engines keep the deadline by their own
     * clocks and may end a request a few milliseconds early.
     */
    static boolean tooLate(InferenceRequest request, Instant now) {
        return request.remaining(now).compareTo(MIN_REMAINING) < 0;
    }

    Uni<Outcome> run(GenerateCall call) {
        mNumber = call.attempt();
        mQueuedTokens = call.request().prompt().tokens();
        mEndpoints.dispatched(mEndpoint.id(), mQueuedTokens);
        Uni<Outcome> answer =
                mEngine.generate(mEndpoint, call)
                        .onItem()
                        .transformToUniAndConcatenate(this::handle)
                        .collect()
                        .first()
                        .onItem()
                        .ifNull()
                        .switchTo(() -> broken("the stream ended early"));
        return mStalls.guard(mEndpoint, mHeartbeat, answer)
                .onFailure(CallException.class)
                .invoke(e -> failed(call.request(), (CallException) e))
                .onTermination()
                .invoke(this::left);
    }

    private Uni<Outcome> handle(EngineEvent event) {
        mHeartbeat.heard(mClock.instant());
        return switch (event) {
            case EngineEvent.Accepted a -> {
                mProgress.markMayHaveRun();
                a.load()
                        .ifPresent(
                                l -> mEndpoints.loadReported(mEndpoint.id(), l, mClock.instant()));
                yield Uni.createFrom().nullItem();
            }
            case EngineEvent.Tokens t -> relay(t);
            case EngineEvent.Finished f ->
                    f.tokens() == mProgress.nextOffset()
                            ? Uni.createFrom().item(new Outcome.Done(f.tokens()))
                            : broken("the answer has " + f.tokens() + " tokens");
        };
    }

    private Uni<Outcome> relay(EngineEvent.Tokens tokens) {
        prefillDone();
        mHeartbeat.token(mClock.instant());
        if (!mProgress.accept(mNumber, tokens)) {
            return broken("tokens up to " + tokens.offset() + " are missing");
        }
        mHeartbeat.waitForCaller();
        return mProgress
                .writable()
                .invoke(() -> mHeartbeat.heard(mClock.instant()))
                .onItem()
                .transformToUni(v -> Uni.createFrom().nullItem());
    }

    private Uni<Outcome> broken(String message) {
        return Uni.createFrom()
                .failure(
                        new CallException(
                                Step.RELAY,
                                mEndpoint.id().value(),
                                Delivery.MAY_HAVE_RUN,
                                message));
    }

    private void failed(InferenceRequest request, CallException e) {
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            mProgress.markMayHaveRun();
        }
        mProgress.endAttempt();
        if (e.delivery() != Delivery.REFUSED && !tooLate(request, mClock.instant())) {
            mEndpoints.failed(mEndpoint.id(), mClock.instant());
        }
    }

    private void prefillDone() {
        mEndpoints.firstToken(mEndpoint.id(), mQueuedTokens);
        mQueuedTokens = 0;
    }

    private void left() {
        prefillDone();
        mEndpoints.finished(mEndpoint.id());
    }
}
