package io.bilberrygrade.serving.wire;

/**
 * Reservation of KV memory that an engine holds. {@code remainingMillis} is the time to the
 * request's deadline and may be negative.
 */
public record ReservationDocument(
        String reservationId,
        String requestId,
        int attempt,
        long incarnation,
        long tokens,
        long remainingMillis) {}
