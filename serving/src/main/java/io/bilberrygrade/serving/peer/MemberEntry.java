package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Heartbeat of one incarnation of an instance, serialized as an array to keep digests small. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"instance", "incarnation", "heartbeat"})
public record MemberEntry(String instance, long incarnation, long heartbeat) {}
