package io.bilberrygrade.serving.wire;

/** Request that an engine is running or has queued. */
public record SessionDocument(
        String requestId, int attempt, long incarnation, long remainingMillis) {}
