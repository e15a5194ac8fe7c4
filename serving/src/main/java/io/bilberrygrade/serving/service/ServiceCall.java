package io.bilberrygrade.serving.service;

import io.bilberrygrade.core.identity.RequestId;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/** Call to an operation of a plain service. */
public record ServiceCall(
        RequestId id,
        String operation,
        Optional<String> idempotencyKey,
        Duration remaining,
        Buffer body) {}
