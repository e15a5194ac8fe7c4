package io.bilberrygrade.serving.engine;

import com.google.common.collect.ImmutableList;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/**
 * Call that prefills the tokens {@code from} to {@code to} of a prompt under a reservation,
 * attending to the KV caches of the segments before it.
 */
public record SegmentCall(
        String requestId,
        String reservationId,
        long from,
        long to,
        int priority,
        Duration remaining,
        ImmutableList<KvHandle> imports,
        Buffer body) {}
