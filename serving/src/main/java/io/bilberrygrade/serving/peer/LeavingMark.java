package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Says that an endpoint is leaving. {@code ageMillis} is the time since that was seen at the
 * endpoint, so that clocks need not agree.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "ageMillis"})
public record LeavingMark(String endpoint, long ageMillis) {}
