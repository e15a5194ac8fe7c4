package io.bilberrygrade.core.request;

import java.time.Duration;
import java.util.Optional;

/**
 * Final outcome of a request. The three kinds are kept distinct, since a caller decides from them
 * whether a request that may not be repeated can be sent again.
 */
public sealed interface Outcome {
    /**
     * The request ran and its complete answer was relayed; {@code tokens} is the answer's length.
     */
    record Done(int tokens) implements Outcome {}

    /**
     * The request did not run and will not run. {@code retryAfter} is the time after which to
     * retry; {@code peer} is the instance or endpoint that caused the refusal.
     */
    record NotRun(
            Step step,
            Reason reason,
            String detail,
            Optional<String> peer,
            Optional<Duration> retryAfter)
            implements Outcome {}

    /** The request may have run, wholly or in part. */
    record Unknown(
            Step step,
            Reason reason,
            String detail,
            Optional<String> peer,
            Optional<Duration> retryAfter)
            implements Outcome {}

    /** Returns a refusal by this daemon without a retry time. */
    static Outcome notRun(Step step, Reason reason, String detail) {
        return new NotRun(step, reason, detail, Optional.empty(), Optional.empty());
    }

    /** Returns a refusal by this daemon with a retry time. */
    static Outcome notRun(Step step, Reason reason, String detail, Duration retryAfter) {
        return new NotRun(step, reason, detail, Optional.empty(), Optional.of(retryAfter));
    }

    /** Returns an unknown outcome caused by a peer or endpoint. */
    static Outcome unknown(Step step, Reason reason, String detail, String peer) {
        return new Unknown(step, reason, detail, Optional.of(peer), Optional.empty());
    }
}
