package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Mark that an endpoint is leaving. {@code ageMillis} is the time since a daemon observed this at
 * the endpoint; an age needs no synchronized clocks.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "ageMillis"})
public record LeavingMark(String endpoint, long ageMillis) {}
