package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;

/**
 * Where a prompt is read and answered.
 *
 * @param first endpoint that gets the request and writes the answer
 * @param helpers endpoints that read a part of the prompt
 * @param reservations tokens of memory to reserve on some helpers before the prompt is sent
 * @param waitMillis time until all of them have read what they were given before
 * @param partMillis time that each of them reads
 */
public record StreamPlacement(
        RegisteredEndpoint first,
        ImmutableList<RegisteredEndpoint> helpers,
        ImmutableMap<EndpointId, Long> reservations,
        double waitMillis,
        double partMillis) {
    /** Returns the time until the prompt must have been read, by what is known and published. */
    public double readByMillis() {
        return waitMillis + partMillis;
    }
}
