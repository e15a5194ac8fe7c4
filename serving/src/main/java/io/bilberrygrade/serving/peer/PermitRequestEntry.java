package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Permits that the sender asks for at a rate-limited endpoint, serialized as an array to keep
 * messages small.
 *
 * @param wanted number of requests that it could send now
 * @param starved whether some of its requests found no other endpoint
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis", "wanted", "starved"})
public record PermitRequestEntry(
        String endpoint, long startedAtMillis, int wanted, boolean starved) {}
