package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Distinguishes a busy endpoint from one that has lost a request. At peak load the first event is
 * seconds late on every engine; moving requests to other engines would prefill their prompts again
 * and make the peak worse. Engines answer in order of arrival, so a request is lost only if a later
 * one was answered first, or if its endpoint has sent nothing at all for the given time.
 */
public final class LostRequestDetector {
    private LostRequestDetector() {}

    /** Returns whether a request without a first byte must be considered lost. */
    public static boolean isLost(
            Instant sentAt, Duration patience, EndpointActivity activity, Instant now) {
        boolean overtaken = activity.newestAnsweredSentAt().filter(sentAt::isBefore).isPresent();
        boolean alive =
                activity.lastDataAt().filter(t -> t.plus(patience).isAfter(now)).isPresent();
        return overtaken || !alive;
    }

    /**
     * Activity observed at an endpoint.
     *
     * @param lastDataAt time at which the endpoint last sent any data
     * @param newestAnsweredSentAt send time of the latest attempt that it has answered
     */
    public record EndpointActivity(
            Optional<Instant> lastDataAt, Optional<Instant> newestAnsweredSentAt) {
        /** No activity observed. */
        public static final EndpointActivity NOTHING =
                new EndpointActivity(Optional.empty(), Optional.empty());

        /** Returns the activity after the endpoint has sent data. */
        public EndpointActivity withData(Instant now) {
            return new EndpointActivity(Optional.of(now), newestAnsweredSentAt);
        }

        /** Returns the activity after the first byte of the answer to an attempt. */
        public EndpointActivity withFirstByte(Instant sentAt, Instant now) {
            Instant newest = newestAnsweredSentAt.filter(sentAt::isBefore).orElse(sentAt);
            return new EndpointActivity(Optional.of(now), Optional.of(newest));
        }
    }
}
