package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Usage of a class of work by one incarnation of an instance. {@code ageMillis} is the time since
 * the measurement.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "instance",
    "incarnation",
    "workClass",
    "tokensPerSecond",
    "queuedTokens",
    "ageMillis"
})
public record ClassUse(
        String instance,
        long incarnation,
        String workClass,
        double tokensPerSecond,
        long queuedTokens,
        long ageMillis) {}
