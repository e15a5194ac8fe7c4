package io.bilberrygrade.serving.room;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Time for which an endpoint's run stays cold, serialized as an array to keep messages small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis", "leftMillis"})
public record ColdEntry(String endpoint, long startedAtMillis, long leftMillis) {}
