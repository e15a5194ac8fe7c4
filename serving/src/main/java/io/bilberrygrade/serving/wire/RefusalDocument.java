package io.bilberrygrade.serving.wire;

/** Refusal of a call by an endpoint, which states that nothing was run. */
public record RefusalDocument(String reason) {}
