package io.bilberrygrade.serving.gang;

import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.request.InferenceRequest;
import io.vertx.core.buffer.Buffer;

/**
 * Attempt to serve a prompt by a gang; {@code onStarted} runs before the first engine starts
 * prefill.
 */
public record GangCall(
        Deployment deployment,
        InferenceRequest request,
        Buffer body,
        int attempt,
        Runnable onStarted) {}
