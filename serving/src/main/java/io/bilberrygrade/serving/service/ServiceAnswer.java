package io.bilberrygrade.serving.service;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** Answer of a plain service, relayed to the caller unchanged. */
public record ServiceAnswer(int status, Optional<String> contentType, Buffer body) {}
