package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.vertx.core.MultiMap;
import java.util.Optional;

/**
 * Head of an endpoint's answer.
 *
 * @param attemptId the sending that it answers, if it says so
 * @param sealed whether it carries the mark without which a success isn't an endpoint's own
 * @param notRun whether the endpoint states that it ran nothing
 * @param faulty endpoint that the answer blames for the failure
 * @param leaving whether the endpoint asks for no new work until its next run
 * @param retryAfter seconds for which the endpoint wants nothing, as it wrote them
 * @param passedOn headers that go on to the caller as they are
 */
public record AnswerHead(
        int status,
        Optional<String> attemptId,
        boolean sealed,
        boolean notRun,
        Optional<Address> faulty,
        boolean leaving,
        Optional<String> retryAfter,
        MultiMap passedOn) {
    /** Returns whether the endpoint refuses since it has no room at the moment. */
    public boolean busy() {
        return status == 503 || status == 429;
    }

    /** Returns whether the status is a success. */
    public boolean success() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns whether callers would take the status for a promise that the request didn't run. An
     * endpoint that gives it without saying that it ran nothing may have run the request.
     */
    public boolean promisesNotRun() {
        return switch (status) {
            case 408, 421, 429, 503 -> !notRun;
            default -> false;
        };
    }
}
