package io.bilberrygrade.serving.wire;

/** Refusal of a call by an endpoint, which means that nothing was run. */
public record RefusalDocument(String reason) {}
