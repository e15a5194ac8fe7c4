package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.error.Delivery;
import java.time.Instant;

/** Receives the result of an attempt. */
interface AttemptOwner {
    /** The attempt ended without a usable answer. */
    void onFailed(AttemptsInFlight.Attempt attempt, Delivery delivery, String detail);

    /** A peer refused the request, and no endpoint has run it there. */
    void onPeerRefusal(AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body);

    /** The endpoint crashed just as it began to answer. */
    void onCrashedEndpoint(AttemptsInFlight.Attempt attempt, String detail);

    /** Sends the request to another endpoint as well; returns whether that is possible. */
    boolean trySendElsewhere(Instant now);

    /** Returns whether no other attempt of the request is in flight. */
    boolean isOnlyAttempt();

    /** Content that the endpoint sent was relayed. */
    void onRelayed(AttemptsInFlight.Attempt attempt);

    /** The endpoint ran the request and answered with an error status. */
    void onErrorAnswer(AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body);

    /** Answers hold too much memory, and this one waits for its caller. */
    void onCallerTooSlow();

    /** The complete answer was relayed to the caller. */
    void onAnswered(long eventCount, Instant firstEventAt);
}
