package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What becomes of a request for which no endpoint is eligible now.
 *
 * <p>Requests under a rate limit that the fleet has not used up wait for one answer of the
 * aggregator, some ms away. All others are refused immediately, with the time at which an endpoint
 * is expected to accept requests again.
 */
sealed interface NoEndpointDecision {
    /**
     * Part of a caller's remaining time after which it may return to evacuated endpoints. It
     * returns once, so late is best; callers wait at most a third of their time, and a refusal
     * doubles the delay at most.
     */
    int EVACUATED_RETRY_PARTS = 8;

    /** The request waits for a permit of a rate-limited endpoint. */
    record AwaitPermit() implements NoEndpointDecision {}

    /**
     * The service's endpoints can't get requests now, but are expected to: they back off, have used
     * up their rate limits or are in evacuated data centres.
     */
    record RefuseUntil(Reason reason, String detail, Duration retryAfter)
            implements NoEndpointDecision {
        /** Returns the outcome of a request that hasn't run. */
        Outcome outcome() {
            return Outcome.notRun(Step.ROUTE, reason, detail, retryAfter);
        }
    }

    /** The service has no endpoints, or the request has tried all. */
    record Refuse() implements NoEndpointDecision {}

    /**
     * Decides on a request.
     *
     * @param mayWait whether it hasn't waited for a permit yet
     * @param minRetryAfter shortest time after which a refused caller may return
     * @param remaining time left until the request's deadline
     */
    static NoEndpointDecision decide(
            EndpointTracker tracker,
            ServiceId service,
            ImmutableSet<EndpointId> tried,
            boolean mayWait,
            Duration minRetryAfter,
            Duration remaining,
            Instant now) {
        if (tracker.isEvacuated(service, now)) {
            return new RefuseUntil(
                    Reason.EVACUATED,
                    "the data centres of all endpoints of the service are evacuated",
                    remaining.dividedBy(EVACUATED_RETRY_PARTS));
        }
        if (mayWait) {
            tracker.recordStarved(service, tried, now);
            if (tracker.mayHaveRoom(service, tried, now)) {
                return new AwaitPermit();
            }
        }
        Optional<Instant> returnAt = tracker.earliestReturn(service, now);
        return returnAt.<NoEndpointDecision>map(
                        at ->
                                new RefuseUntil(
                                        Reason.OVERLOADED,
                                        "all endpoints of the service back off or are at their"
                                                + " limits",
                                        longer(Duration.between(now, at), minRetryAfter)))
                .orElseGet(Refuse::new);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
