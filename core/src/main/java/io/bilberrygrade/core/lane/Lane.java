package io.bilberrygrade.core.lane;

/** Kind of work of a request, by the engine time that its prompt needs. */
public enum Lane {
    SHORT,
    LONG
}
