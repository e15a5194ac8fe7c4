package io.bilberrygrade.standins.load;

import java.time.Duration;
import java.util.Optional;

/** Request of a caller. */
public sealed interface CallerRequest {
    /** Returns the class of work that the request belongs to. */
    String workClass();

    /** Returns the time from sending within which the answer is due. */
    Duration timeout();

    /** Completion of a prompt; {@code worth} is the value of an answer that arrives in time. */
    record Completion(
            String workClass,
            Duration timeout,
            String model,
            String prompt,
            int maxTokens,
            double worth)
            implements CallerRequest {}

    /** Call of a plain service, with an idempotency key if one was issued. */
    record ServiceCall(
            String workClass,
            Duration timeout,
            String service,
            String operation,
            Optional<String> key,
            String body)
            implements CallerRequest {
        /** Returns the same call with another key. */
        public ServiceCall withIdempotencyKey(Optional<String> newKey) {
            return new ServiceCall(workClass, timeout, service, operation, newKey, body);
        }
    }
}
