package io.bilberrygrade.core.lane;

/**
 * Which of the two kinds of work a request belongs to, by the engine time that its prompt needs.
 */
public enum Lane {
    SHORT,
    LONG
}
