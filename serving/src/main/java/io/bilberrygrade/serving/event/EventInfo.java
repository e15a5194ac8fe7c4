package io.bilberrygrade.serving.event;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Number and level of a log event; the catalogue in {@code docs/EVENTS.md} has an entry for each.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface EventInfo {
    /** Returns the event's number, whose meaning never changes. */
    int number();

    /** Returns the level at which the event is logged. */
    EventLevel level();

    /**
     * Returns whether the event records a change that took effect and is kept in the audit trail.
     */
    boolean audited() default false;
}
