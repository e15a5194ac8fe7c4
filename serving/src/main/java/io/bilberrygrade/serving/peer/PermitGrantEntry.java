package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Permits granted at a rate-limited endpoint, serialized as an array to keep messages small.
 *
 * @param permits number of requests that the receiver may send
 * @param nextMillis time until another permit can be granted; {@link #NONE} if none can be
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis", "permits", "nextMillis"})
public record PermitGrantEntry(
        String endpoint, long startedAtMillis, int permits, long nextMillis) {
    /** Time from an aggregator that can't grant any permit. */
    public static final long NONE = -1;
}
