package io.bilberrygrade.standins.load;

import java.time.Duration;
import java.util.Optional;

/** Request as a caller makes it. */
public sealed interface CallerRequest {
    /** Returns the class of work that the caller names. */
    String workClass();

    /** Returns the time within which the caller wants the answer. */
    Duration timeout();

    /** Completion of a prompt; {@code worth} is what an answer in time is worth. */
    record Completion(
            String workClass,
            Duration timeout,
            String model,
            String prompt,
            int maxTokens,
            double worth)
            implements CallerRequest {}

    /** Call of a plain service under an idempotency key. */
    record ServiceCall(
            String workClass,
            Duration timeout,
            String service,
            String operation,
            Optional<String> key,
            String body)
            implements CallerRequest {
        /** Returns the same call under another key. */
        public ServiceCall withKey(Optional<String> newKey) {
            return new ServiceCall(workClass, timeout, service, operation, newKey, body);
        }
    }
}
