package io.bilberrygrade.serving.event;

/** Events of the shares that classes of work have of the fleet. Rates are in tokens per second. */
public sealed interface ShareEvent extends Event {
    /** A class demands more than its grant and is limited to it. */
    @EventInfo(number = 6001, level = EventLevel.WARN, audited = true)
    record Limited(String workClass, double demand, double grant) implements ShareEvent {}

    /** A class is within its grant again and no longer limited. */
    @EventInfo(number = 6002, level = EventLevel.INFO, audited = true)
    record Unlimited(String workClass, double demand, double grant) implements ShareEvent {}
}
