package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.LifecycleEvent;
import java.time.Instant;
import java.util.function.Consumer;

/** Ends the answer to one request, and logs how it ended. */
final class AnswerEnd {
    private static final String CALLER = "caller";
    private static final String SLOW_CALLER = "the caller takes its answer too slowly";

    private static final int SUCCESS = 200;

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final AnswerRelay mRelay;

    AnswerEnd(ForwardContext context, ForwardExchange exchange, AnswerRelay relay) {
        mContext = context;
        mExchange = exchange;
        mRelay = relay;
    }

    /** Logs that the caller has an endpoint's whole answer. */
    void recordAnswered(int status, int attempts, Instant firstEventAt) {
        if (status == SUCCESS && attempts == 1) {
            Instant now = mContext.clocks().now();
            mExchange
                    .admission()
                    .ifPresent(
                            a ->
                                    mContext.admission()
                                            .recordAnswered(
                                                    a, mRelay.eventCount(), firstEventAt, now));
        }
        mContext.events()
                .record(
                        new ForwardEvent.Answered(
                                mExchange.id().value(),
                                status,
                                attempts,
                                mRelay.eventCount(),
                                mExchange.millisSinceArrival(firstEventAt),
                                mExchange.millisSinceArrival(mContext.clocks().now())));
    }

    /** Relays an endpoint's error, unless the caller already has a part of another answer. */
    void relayError(AnswerHead head, AnswerBody body, int attempts) {
        if (mRelay.hasBegun()) {
            body.release();
            cut(Reason.ENDPOINT_FAILED, "the endpoint answered " + head.status(), attempts);
        } else {
            mExchange.answer().writeWhole(head, body);
            recordAnswered(head.status(), attempts, mContext.clocks().now());
        }
    }

    /**
     * Closes the caller's connection if it has a part of the answer; the caller gets the outcome
     * otherwise.
     */
    void cutIfBegun(Outcome outcome, int attempts) {
        if (mRelay.hasBegun()) {
            switch (outcome) {
                case Outcome.NotRun n -> cut(n.reason(), n.detail(), attempts);
                case Outcome.Unknown u -> cut(u.reason(), u.detail(), attempts);
                case Outcome.Done d -> {}
            }
        }
    }

    /**
     * Closes the connection of a caller that takes its answer too slowly for the memory that it
     * holds.
     */
    Outcome cutSlowCaller(int attempts) {
        recordCut(Reason.OVERLOADED, SLOW_CALLER, attempts);
        mExchange.answer().abortNow();
        return Outcome.unknown(Step.RELAY, Reason.OVERLOADED, SLOW_CALLER, CALLER);
    }

    /** Logs that the caller has disconnected before its answer had ended. */
    Outcome recordCallerGone(int attempts) {
        mContext.events()
                .record(
                        new ForwardEvent.CallerGone(
                                mExchange.id().value(),
                                attempts,
                                mExchange.millisSinceArrival(mContext.clocks().now())));
        return Outcome.unknown(Step.RELAY, Reason.CALLER_GONE, "the caller has gone", CALLER);
    }

    /**
     * Logs an unexpected exception, and cuts the answer if the caller has a part of it. The outcome
     * is the answer if all of it was written before.
     */
    void endAfterError(Throwable e, int attempts, Consumer<Outcome> finish) {
        CallerAnswer answer = mExchange.answer();
        boolean whole = answer.hasEnded();
        try {
            recordError(e);
            if (!whole && (mRelay.hasBegun() || answer.hasBegun())) {
                cut(Reason.ENDPOINT_FAILED, "internal error", attempts);
            }
        } finally {
            finish.accept(
                    whole
                            ? new Outcome.Done((int) mRelay.eventCount())
                            : RequestJournal.INTERNAL_ERROR);
        }
    }

    /** Logs an unexpected exception. */
    void recordError(Throwable e) {
        mContext.events().record(new LifecycleEvent.UnexpectedError("forward", e.toString()));
    }

    private void cut(Reason reason, String detail, int attempts) {
        try {
            recordCut(reason, detail, attempts);
        } finally {
            mExchange.answer().abort();
        }
    }

    private void recordCut(Reason reason, String detail, int attempts) {
        mContext.events()
                .record(
                        new ForwardEvent.AnswerCut(
                                mExchange.id().value(),
                                reason.name(),
                                detail,
                                attempts,
                                mRelay.eventCount(),
                                mExchange.millisSinceArrival(mContext.clocks().now()),
                                mExchange.config().map(ForwardingConfig::version).orElse(0L),
                                mContext.state().version()));
    }
}
