package io.bilberrygrade.core.contention;

import java.time.Duration;

/** Whether a request is sent to an endpoint or refused at once. */
public sealed interface AdmissionDecision {
    /** Returns why it was decided. */
    AdmissionCause cause();

    /** Returns when the request would have been served at its own rank. */
    Prediction prediction();

    /**
     * The request is sent.
     *
     * @param runAs rank at which it is queued; above its own if its team was served too rarely
     */
    record Admit(Rank runAs, AdmissionCause cause, Prediction prediction)
            implements AdmissionDecision {}

    /**
     * The request is refused; its caller may return after the given time.
     *
     * @param promised whether capacity is kept for it then
     */
    record Refuse(
            Duration retryAfter, boolean promised, AdmissionCause cause, Prediction prediction)
            implements AdmissionDecision {}
}
