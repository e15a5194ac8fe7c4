package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Aggregator of work or one of its standbys, serialized as an array to keep messages small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"address", "startedAtMillis"})
public record AggregatorEntry(String address, long startedAtMillis) {}
