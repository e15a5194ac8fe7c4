package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** A daemon that sums up work or could take over, as an array to keep messages small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"address", "startedAtMillis"})
public record FleetEntry(String address, long startedAtMillis) {}
