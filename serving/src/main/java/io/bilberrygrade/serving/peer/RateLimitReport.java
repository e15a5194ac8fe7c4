package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.bilberrygrade.serving.room.ColdEntry;
import java.util.List;

/**
 * What a daemon reports of rate-limited endpoints.
 *
 * @param followedMillis time for which the sender has followed the receiver as its aggregator;
 *     {@link #NOT_FOLLOWED} if it doesn't
 * @param limits recent statements in answers to the sender
 * @param requests permits that the sender asks for; empty unless it follows the receiver
 * @param cold endpoints that are cold by recent answers to the sender; null if there are none
 */
public record RateLimitReport(
        long followedMillis,
        List<RateLimitEntry> limits,
        List<PermitRequestEntry> requests,
        @JsonInclude(JsonInclude.Include.NON_NULL) List<ColdEntry> cold) {
    /** Time of a sender that follows another daemon. */
    public static final long NOT_FOLLOWED = -1;
}
