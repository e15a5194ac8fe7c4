package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Work of the sender at one endpoint, serialized as an array to keep messages small. {@code
 * readMillis} is the time needed to prefill the prompts of requests without a first event.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "calls", "readMillis", "writers", "strictCalls", "tokens"})
public record WorkEntry(
        String endpoint, int calls, long readMillis, int writers, int strictCalls, long tokens) {}
