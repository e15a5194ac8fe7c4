package io.bilberrygrade.serving.event;

/** Events of orders to endpoints. */
public sealed interface OrderEvent extends Event {
    /** An endpoint accepted an order. */
    @EventInfo(number = 4001, level = EventLevel.INFO, audited = true)
    record Accepted(String endpoint, String order, long fencingToken) implements OrderEvent {}

    /** An endpoint refused an order. */
    @EventInfo(number = 4002, level = EventLevel.WARN)
    record Refused(String endpoint, String order, long fencingToken, String reason)
            implements OrderEvent {}
}
