package io.bilberrygrade.serving.wire;

/** Answer to an order: whether it took effect and the highest fencing token seen. */
public record OrderResultDocument(boolean accepted, long highestFencingToken, String reason) {}
