package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Use that one run of an instance makes of a class of work. {@code ageMillis} is the time since it
 * was measured.
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
