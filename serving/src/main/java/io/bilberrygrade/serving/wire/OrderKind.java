package io.bilberrygrade.serving.wire;

/** Kinds of order that an engine accepts. */
public enum OrderKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    SET_ROLE
}
