package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.LifecycleEvent;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Assigns request ids, and writes the answer and the log line of requests that weren't served. */
final class RequestJournal {
    /** Outcome after an unexpected exception; it doesn't tell whether an endpoint was reached. */
    static final Outcome INTERNAL_ERROR =
            Outcome.unknown(Step.DISPATCH, Reason.ENDPOINT_FAILED, "internal error", "self");

    private static final int CALLER_ID_CHARS = 64;

    private final InstanceId mInstance;
    private final Clocks mClocks;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private long mNextNumber;

    RequestJournal(
            InstanceId instance, Clocks clocks, UniformRandomProvider random, EventLog events) {
        mInstance = instance;
        mClocks = clocks;
        mRandom = random;
        mEvents = events;
    }

    /** Returns the caller's attempt id, or a new id of this daemon if it sent none. */
    RequestId newId(RequestHead head) {
        return head.attemptId()
                .filter(id -> !id.isEmpty() && id.length() <= Identifier.MAX_LENGTH_CHARS)
                .map(id -> id.substring(0, Math.min(id.length(), CALLER_ID_CHARS)))
                .map(RequestId::new)
                .orElseGet(() -> new RequestId(mInstance.value() + "-" + mNextNumber++));
    }

    /** Records the outcome of a request; one that wasn't served gets this daemon's answer. */
    void onOutcome(ForwardExchange exchange, Outcome outcome) {
        switch (outcome) {
            case Outcome.Done d -> {}
            case Outcome.NotRun n ->
                    writeNotServed(exchange, n, "not-run", n.step(), n.reason(), n.detail());
            case Outcome.Unknown u -> {
                if (u.reason() != Reason.CALLER_GONE) {
                    writeNotServed(exchange, u, "unknown", u.step(), u.reason(), u.detail());
                }
            }
        }
    }

    /** Answers a request that failed by an internal error. */
    void onInternalError(ForwardExchange exchange, Throwable e) {
        mEvents.record(new LifecycleEvent.UnexpectedError("forward", e.toString()));
        onOutcome(exchange, INTERNAL_ERROR);
    }

    /** Records that a caller's connection failed. */
    void onConnectionFailed(Throwable e) {
        mEvents.record(new ForwardEvent.CallerConnectionFailed(String.valueOf(e.getMessage())));
    }

    /**
     * Returns the {@code Retry-After} delay: the one that the refusal states, spread unless it was
     * scheduled for this caller, or one by its reason.
     */
    private Duration retryAfter(Outcome outcome, Reason reason) {
        double draw = mRandom.nextDouble();
        if (!(outcome instanceof Outcome.NotRun n) || n.retryAfter().isEmpty()) {
            return RetryDelay.of(reason, draw);
        }
        return reason == Reason.OUTRANKED
                ? n.retryAfter().get()
                : RetryDelay.spread(n.retryAfter().get(), draw);
    }

    private void writeNotServed(
            ForwardExchange exchange,
            Outcome outcome,
            String promise,
            Step step,
            Reason reason,
            String detail) {
        try {
            mEvents.record(
                    new ForwardEvent.NotServed(
                            exchange.id().value(),
                            promise,
                            step.name(),
                            reason.name(),
                            detail,
                            Duration.between(exchange.arrival(), mClocks.now()).toMillis()));
        } finally {
            int status = ForwardStatus.of(outcome);
            Optional<Duration> retryAfter =
                    status == 503 ? Optional.of(retryAfter(outcome, reason)) : Optional.empty();
            exchange.answer().writeRefusal(status, reason + ": " + detail, retryAfter);
        }
    }
}
