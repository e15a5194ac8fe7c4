package io.bilberrygrade.serving.wire;

/** Kinds of change of an engine's prefix cache. */
public enum CacheEventKind {
    STORED,
    EVICTED
}
