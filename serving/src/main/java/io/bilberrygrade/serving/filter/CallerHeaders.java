package io.bilberrygrade.serving.filter;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Headers of a call: credential, work class, the deadline as an instant or as the time left, the
 * worth of an answer in time, and the idempotency key.
 */
public record CallerHeaders(
        Optional<String> credential,
        Optional<String> workClass,
        Optional<Instant> deadline,
        Optional<Duration> timeout,
        double worth,
        Optional<String> idempotencyKey) {}
