package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.controller.Dispatch;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.engine.EngineEvent;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Attempt to run a completion on one engine. */
final class Attempt {
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final StallDetector mStallDetector;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final Endpoint mEndpoint;
    private final Dispatch mDispatch;
    private final AnswerProgress mProgress;
    private final EngineActivity mActivity;
    private int mNumber;

    Attempt(
            ModelEngine engine,
            EndpointController endpoints,
            StallDetector stallDetector,
            Timers timers,
            InstantSource clock,
            Endpoint endpoint,
            Dispatch dispatch,
            AnswerProgress progress) {
        mEngine = engine;
        mEndpoints = endpoints;
        mStallDetector = stallDetector;
        mTimers = timers;
        mClock = clock;
        mEndpoint = endpoint;
        mDispatch = dispatch;
        mProgress = progress;
        mActivity = new EngineActivity(clock.instant());
    }

    /**
     * Returns whether too little time is left for an attempt. Engines enforce the deadline by their
     * own clocks and may end a request a few milliseconds early.
     */
    static boolean isTooLate(InferenceRequest request, Instant now) {
        return request.remaining(now).compareTo(MIN_REMAINING) < 0;
    }

    /**
     * Runs the attempt. Fails if the engine has stalled or has sent no token within {@code
     * firstTokenTimeout}.
     */
    Uni<Outcome> run(GenerateCall call, Duration firstTokenTimeout) {
        mNumber = call.attempt();
        Uni<Outcome> answer =
                mEngine.generate(mEndpoint, call)
                        .onItem()
                        .transformToUniAndConcatenate(this::handle)
                        .collect()
                        .first()
                        .onItem()
                        .ifNull()
                        .switchTo(() -> failAttempt("the stream ended early"));
        Uni<Outcome> guarded = mStallDetector.guard(mEndpoint, mActivity, answer);
        return Uni.join()
                .first(guarded, failWithoutToken(firstTokenTimeout))
                .toTerminate()
                .onFailure(CallException.class)
                .invoke(e -> onFailure(call.request(), (CallException) e))
                .onTermination()
                .invoke(() -> mDispatch.ended(mClock.instant()));
    }

    /** Fails unless the first token arrives within the given time. */
    private Uni<Outcome> failWithoutToken(Duration timeout) {
        return mTimers.after(timeout)
                .onItem()
                .transformToUni(
                        v ->
                                mActivity.isDecoding()
                                        ? Uni.createFrom().nothing()
                                        : failAttempt(
                                                "no token within " + timeout.toMillis() + " ms"));
    }

    private Uni<Outcome> handle(EngineEvent event) {
        mActivity.recordActivity(mClock.instant());
        return switch (event) {
            case EngineEvent.Accepted a -> {
                mProgress.markMayHaveRun();
                a.load().ifPresent(l -> mEndpoints.recordLoad(mEndpoint.id(), l, mClock.instant()));
                yield Uni.createFrom().nullItem();
            }
            case EngineEvent.Tokens t -> relay(t);
            case EngineEvent.Finished f ->
                    f.tokens() == mProgress.nextOffset()
                            ? Uni.createFrom().item(new Outcome.Done(f.tokens()))
                            : failAttempt("the answer has " + f.tokens() + " tokens");
        };
    }

    private Uni<Outcome> relay(EngineEvent.Tokens tokens) {
        recordFirstToken();
        mActivity.recordToken(mClock.instant());
        if (!mProgress.accept(mNumber, tokens)) {
            return failAttempt("tokens up to " + tokens.offset() + " are missing");
        }
        mActivity.startWaitingForCaller();
        return mProgress
                .writable()
                .invoke(() -> mActivity.recordActivity(mClock.instant()))
                .onItem()
                .transformToUni(v -> Uni.createFrom().nullItem());
    }

    private Uni<Outcome> failAttempt(String message) {
        return Uni.createFrom().failure(failure(message));
    }

    private CallException failure(String message) {
        return new CallException(
                Step.RELAY, mEndpoint.id().value(), Delivery.MAY_HAVE_RUN, message);
    }

    private void onFailure(InferenceRequest request, CallException e) {
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            mProgress.markMayHaveRun();
        }
        mProgress.endAttempt();
        mEndpoints.reportRefusalReason(mEndpoint.id(), e, mClock.instant());
        if (isTooLate(request, mClock.instant())) {
            return;
        }
        switch (e.delivery()) {
            case REFUSED -> mEndpoints.refused(mEndpoint.id(), mClock.instant());
            case NOT_DELIVERED, MAY_HAVE_RUN -> mEndpoints.failed(mEndpoint.id(), mClock.instant());
        }
    }

    private void recordFirstToken() {
        mDispatch.firstToken(mClock.instant());
        mEndpoints.recordSuccess(mEndpoint.id());
    }
}
