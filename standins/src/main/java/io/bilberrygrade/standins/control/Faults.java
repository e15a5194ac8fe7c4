package io.bilberrygrade.standins.control;

/** Fault switches common to all stand-ins, applied before each call. */
public interface Faults {
    /** Returns whether the stand-in terminates immediately, without closing its streams cleanly. */
    boolean dieNow();

    /** Returns the milliseconds for which calls are accepted but not answered. */
    long freezeMillis();

    /** Returns the delay of each call in milliseconds. */
    long slowMillis();

    /** Returns whether every connection is closed without an answer. */
    boolean down();
}
