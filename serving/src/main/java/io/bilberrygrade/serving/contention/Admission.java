package io.bilberrygrade.serving.contention;

import io.bilberrygrade.core.contention.AdmissionDecision;
import io.bilberrygrade.core.contention.Rank;
import java.time.Instant;

/**
 * Decision on one request, from which its end is recorded.
 *
 * @param slotsFree whether it needn't wait for a slot, so that its duration is that of its work
 */
public record Admission(
        Arrival arrival, AdmissionDecision decision, boolean slotsFree, Instant at) {
    /** Returns the rank at which the request is queued. */
    public Rank runAs() {
        return decision instanceof AdmissionDecision.Admit admit ? admit.runAs() : arrival.rank();
    }
}
