package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Run of an endpoint that asked for no new work, serialized as an array to keep messages small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis"})
public record LeavingRunEntry(String endpoint, long startedAtMillis) {}
