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

/** One attempt to run a completion on one engine. */
final class Attempt {
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final StallGuard mStalls;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final Endpoint mEndpoint;
    private final Dispatch mDispatch;
    private final AnswerProgress mProgress;
    private final Heartbeat mHeartbeat;
    private int mNumber;

    Attempt(
            ModelEngine engine,
            EndpointController endpoints,
            StallGuard stalls,
            Timers timers,
            InstantSource clock,
            Endpoint endpoint,
            Dispatch dispatch,
            AnswerProgress progress) {
        mEngine = engine;
        mEndpoints = endpoints;
        mStalls = stalls;
        mTimers = timers;
        mClock = clock;
        mEndpoint = endpoint;
        mDispatch = dispatch;
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

    /**
     * Runs the attempt; it fails when the engine has stopped working or has sent no token within
     * {@code patience}.
     */
    Uni<Outcome> run(GenerateCall call, Duration patience) {
        mNumber = call.attempt();
        Uni<Outcome> answer =
                mEngine.generate(mEndpoint, call)
                        .onItem()
                        .transformToUniAndConcatenate(this::handle)
                        .collect()
                        .first()
                        .onItem()
                        .ifNull()
                        .switchTo(() -> broken("the stream ended early"));
        Uni<Outcome> guarded = mStalls.guard(mEndpoint, mHeartbeat, answer);
        return Uni.join()
                .first(guarded, impatience(patience))
                .toTerminate()
                .onFailure(CallException.class)
                .invoke(e -> failed(call.request(), (CallException) e))
                .onTermination()
                .invoke(() -> mDispatch.ended(mClock.instant()));
    }

    /** Fails when no token has come within the given time. */
    private Uni<Outcome> impatience(Duration patience) {
        return mTimers.after(patience)
                .onItem()
                .transformToUni(
                        v ->
                                mHeartbeat.decoding()
                                        ? Uni.createFrom().nothing()
                                        : broken("no token within " + patience.toMillis() + " ms"));
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
        return Uni.createFrom().failure(failure(message));
    }

    private CallException failure(String message) {
        return new CallException(
                Step.RELAY, mEndpoint.id().value(), Delivery.MAY_HAVE_RUN, message);
    }

    private void failed(InferenceRequest request, CallException e) {
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            mProgress.markMayHaveRun();
        }
        mProgress.endAttempt();
        mEndpoints.noteRefusal(mEndpoint.id(), e, mClock.instant());
        if (tooLate(request, mClock.instant())) {
            return;
        }
        switch (e.delivery()) {
            case REFUSED -> mEndpoints.refused(mEndpoint.id(), mClock.instant());
            case NOT_DELIVERED, MAY_HAVE_RUN -> mEndpoints.failed(mEndpoint.id(), mClock.instant());
        }
    }

    private void prefillDone() {
        mDispatch.firstToken(mClock.instant());
        mEndpoints.succeeded(mEndpoint.id());
    }
}
