package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;

/**
 * Engines that prefill a prompt and decode its answer.
 *
 * @param first endpoint that gets the request and decodes the answer
 * @param helpers endpoints that prefill a part of the prompt
 * @param reservations tokens of memory to reserve on helpers before the prompt is sent
 * @param waitMillis time until all of these engines have finished their queued prefill
 * @param partMillis prefill time of the part on each of them
 */
public record StreamPlacement(
        RegisteredEndpoint first,
        ImmutableList<RegisteredEndpoint> helpers,
        ImmutableMap<EndpointId, Long> reservations,
        double waitMillis,
        double partMillis) {
    /** Returns the placement with the prefill time of the parts multiplied by a factor. */
    public StreamPlacement withPrefillTimes(double factor) {
        return new StreamPlacement(first, helpers, reservations, waitMillis, factor * partMillis);
    }

    /** Returns the predicted time, in milliseconds, until the prompt is prefilled. */
    public double prefillEndMillis() {
        return waitMillis + partMillis;
    }
}
