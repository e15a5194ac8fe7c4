package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * What an endpoint's run stated about its rate limit, serialized as an array to keep messages
 * small.
 *
 * @param perSecond the limit in requests a second; {@link #ENDED} if the run states none any more
 * @param ageMillis time since the answer that stated it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"endpoint", "startedAtMillis", "perSecond", "ageMillis"})
public record RateLimitEntry(
        String endpoint, long startedAtMillis, double perSecond, long ageMillis) {
    /** Limit of a run that states none any more. */
    public static final double ENDED = -1;
}
