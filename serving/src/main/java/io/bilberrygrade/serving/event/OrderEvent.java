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

    /** Memory that an engine held for a request of a daemon that no longer runs was released. */
    @EventInfo(number = 4003, level = EventLevel.INFO, audited = true)
    record Reclaimed(String endpoint, String request, long tokens, String reason)
            implements OrderEvent {}
}
