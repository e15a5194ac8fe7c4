package io.bilberrygrade.serving.event;

/** Events of peers and of the list of instances. */
public sealed interface MembershipEvent extends Event {
    /** A peer introduced itself for the first time or with a new incarnation. */
    @EventInfo(number = 3001, level = EventLevel.INFO, audited = true)
    record PeerJoined(String instance, long incarnation, String address)
            implements MembershipEvent {}

    /** A peer could not be reached. */
    @EventInfo(number = 3002, level = EventLevel.WARN, audited = true)
    record PeerLost(String instance, String error) implements MembershipEvent {}

    /** A connection was closed because a frame was malformed, oversized or not authenticated. */
    @EventInfo(number = 3003, level = EventLevel.WARN)
    record FrameRejected(String remote, String fault) implements MembershipEvent {}

    /** The list of instances could not be read. */
    @EventInfo(number = 3004, level = EventLevel.WARN)
    record InstanceListUnavailable(String peer, String error) implements MembershipEvent {}

    /** An endpoint or a peer reported that the endpoint is leaving; it gets no new work. */
    @EventInfo(number = 3010, level = EventLevel.INFO, audited = true)
    record EndpointLeaving(String endpoint, String source) implements MembershipEvent {}
}
