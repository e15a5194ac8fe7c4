package io.bilberrygrade.serving.platform;

import com.google.common.collect.ImmutableMap;
import io.vertx.core.buffer.Buffer;

/** Bytes of all parts of one version of the published configuration, by key. */
public record ConfigParts(long version, ImmutableMap<String, Buffer> parts) {}
