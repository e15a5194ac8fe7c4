package io.bilberrygrade.standins.control;

/** Fault switches that every stand-in has, read before each call is served. */
public interface Faults {
    /** Returns whether the stand-in ends at once, without closing its streams in order. */
    boolean dieNow();

    /** Returns for how many milliseconds calls are accepted but not answered. */
    long freezeMillis();

    /** Returns by how many milliseconds each call is delayed. */
    long slowMillis();

    /** Returns whether every connection is closed without an answer. */
    boolean down();
}
