package io.bilberrygrade.serving.engine;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.request.InferenceRequest;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/**
 * Call that runs a prompt on one engine. {@code priority} 0 is the most urgent; {@code
 * resumeOffset} is the number of answer tokens that the caller already has; {@code imports} are
 * exported KV caches that cover the prompt.
 */
public record GenerateCall(
        InferenceRequest request,
        int attempt,
        Incarnation incarnation,
        int priority,
        Duration remaining,
        int resumeOffset,
        Optional<String> reservationId,
        ImmutableList<KvHandle> imports,
        Buffer body) {}
