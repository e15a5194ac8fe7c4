package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Endpoint;
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
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** One attempt to run a completion on one engine. */
final class Attempt {
    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final Timers mTimers;
    private final InstantSource mClock;
    private final Endpoint mEndpoint;
    private final Dispatch mDispatch;
    private final AnswerProgress mProgress;
    private Instant mHeardAt = Instant.MIN;

    Attempt(
            ModelEngine engine,
            EndpointController endpoints,
            Timers timers,
            InstantSource clock,
            Endpoint endpoint,
            Dispatch dispatch,
            AnswerProgress progress) {
        mEngine = engine;
        mEndpoints = endpoints;
        mTimers = timers;
        mClock = clock;
        mEndpoint = endpoint;
        mDispatch = dispatch;
        mProgress = progress;
    }

    /** Runs the attempt; it fails when the engine says nothing for longer than {@code patience}. */
    Uni<Outcome> run(GenerateCall call, Duration patience) {
        Multi<EngineEvent> events = mEngine.generate(mEndpoint, call);
        Uni<Outcome> answer =
                events.onItem().transformToUniAndConcatenate(this::handle).collect().last();
        mHeardAt = mClock.instant();
        return Uni.join()
                .first(answer, silence(patience))
                .toTerminate()
                .onFailure(CallException.class)
                .invoke(e -> failed((CallException) e))
                .onTermination()
                .invoke(() -> mDispatch.ended(mClock.instant()));
    }

    /** Fails once nothing was heard of the engine for the given time. */
    private Uni<Outcome> silence(Duration patience) {
        Duration left = patience.minus(Duration.between(mHeardAt, mClock.instant()));
        if (!left.isPositive()) {
            return Uni.createFrom().failure(failure("silent for " + patience.toMillis() + " ms"));
        }
        return mTimers.after(left).chain(v -> silence(patience));
    }

    private Uni<Outcome> handle(EngineEvent event) {
        mHeardAt = mClock.instant();
        return switch (event) {
            case EngineEvent.Accepted a -> {
                mProgress.markMayHaveRun();
                a.load()
                        .ifPresent(
                                l -> mEndpoints.loadReported(mEndpoint.id(), l, mClock.instant()));
                yield Uni.createFrom().nullItem();
            }
            case EngineEvent.Tokens t -> {
                prefillDone();
                yield mProgress.accept(t)
                        ? Uni.createFrom().nullItem()
                        : broken("tokens up to " + t.offset() + " are missing");
            }
            case EngineEvent.Finished f ->
                    f.tokens() == mProgress.nextOffset()
                            ? Uni.createFrom().item(new Outcome.Done(f.tokens()))
                            : broken("the answer has " + f.tokens() + " tokens");
        };
    }

    private Uni<Outcome> broken(String message) {
        return Uni.createFrom().failure(failure(message));
    }

    private CallException failure(String message) {
        return new CallException(
                Step.RELAY, mEndpoint.id().value(), Delivery.MAY_HAVE_RUN, message);
    }

    private void failed(CallException e) {
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            mProgress.markMayHaveRun();
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
