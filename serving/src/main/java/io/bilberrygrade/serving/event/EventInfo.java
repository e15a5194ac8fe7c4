package io.bilberrygrade.serving.event;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Number and level of a log event; the catalogue in {@code docs/EVENTS.md} has an entry of each.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface EventInfo {
    /** Returns the event's number, which never changes its meaning. */
    int number();

    /** Returns the level at which the event is logged. */
    EventLevel level();

    /** Returns whether the event states a change that took effect and so enters the audit trail. */
    boolean audited() default false;
}
