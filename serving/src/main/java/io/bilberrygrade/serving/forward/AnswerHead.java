package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.Address;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.Optional;

/**
 * Head of an endpoint's answer.
 *
 * @param attemptId id of the attempt that it answers, if stated
 * @param sealed whether it carries the mark that shows that a success comes from the endpoint
 *     itself
 * @param notRun whether the endpoint states that it ran nothing
 * @param faulty endpoint that the answer names as the cause of the failure
 * @param leaving whether the endpoint asks for no new work until its next run
 * @param retryAfter backoff in seconds that the endpoint asks for, unparsed
 * @param rateLimit requests a second that the endpoint accepts from all daemons together, unparsed
 * @param coldLeft time for which the endpoint stays cold, if stated
 * @param unknownStatements what the endpoint states about itself that this version doesn't know, by
 *     name
 * @param passedOn headers that are relayed to the caller unchanged
 */
public record AnswerHead(
        int status,
        Optional<String> attemptId,
        boolean sealed,
        boolean notRun,
        Optional<Address> faulty,
        boolean leaving,
        Optional<String> retryAfter,
        Optional<String> rateLimit,
        Optional<Duration> coldLeft,
        ImmutableMap<String, String> unknownStatements,
        MultiMap passedOn) {
    /** Returns whether the endpoint refused for lack of capacity at the moment. */
    public boolean busy() {
        return status == 503 || status == 429;
    }

    /** Returns whether the status is a success. */
    public boolean success() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns whether callers would take the status for a guarantee that the request didn't run,
     * although the endpoint doesn't state that it ran nothing, so that it may have run the request.
     */
    public boolean impliesNotRun() {
        return switch (status) {
            case 408, 421, 429, 503 -> !notRun;
            default -> false;
        };
    }
}
