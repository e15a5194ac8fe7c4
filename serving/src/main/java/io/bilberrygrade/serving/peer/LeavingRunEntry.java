package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** A run of an endpoint that has asked for no new work, as an array to keep messages small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis"})
public record LeavingRunEntry(String endpoint, long startedAtMillis) {}
