package io.bilberrygrade.serving.wire;

/** Change of an engine's prefix cache. */
public record CacheEvent(long sequence, CacheEventKind kind, String hash) {}
