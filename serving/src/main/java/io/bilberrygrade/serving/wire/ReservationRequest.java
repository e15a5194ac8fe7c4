package io.bilberrygrade.serving.wire;

/** Request to reserve KV memory on one engine. */
public record ReservationRequest(
        String requestId, int attempt, long incarnation, long tokens, long deadlineMillis) {}
