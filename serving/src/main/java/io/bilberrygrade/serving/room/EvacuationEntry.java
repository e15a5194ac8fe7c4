package io.bilberrygrade.serving.room;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Mark of a data centre, or its withdrawal, at a position of the store; serialized as an array to
 * keep messages small.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"dataCentre", "era", "revision", "marked"})
public record EvacuationEntry(String dataCentre, long era, long revision, boolean marked) {}
