package io.bilberrygrade.serving.event;

/** Events of a daemon's start, drain and stop. */
public sealed interface LifecycleEvent extends Event {
    /** The daemon has bound its ports. */
    @EventInfo(number = 1001, level = EventLevel.INFO, audited = true)
    record Started(String instance, long incarnation, int callerPort, int peerPort)
            implements LifecycleEvent {}

    /** The daemon starts to accept new requests. */
    @EventInfo(number = 1002, level = EventLevel.INFO, audited = true)
    record Ready(long configVersion) implements LifecycleEvent {}

    /** The daemon refuses new requests and finishes the running ones. */
    @EventInfo(number = 1003, level = EventLevel.INFO, audited = true)
    record DrainStarted(int runningRequests) implements LifecycleEvent {}

    /**
     * The daemon has stopped; {@code abandonedRequests} were still running at the drain timeout.
     */
    @EventInfo(number = 1004, level = EventLevel.INFO, audited = true)
    record Stopped(int abandonedRequests) implements LifecycleEvent {}

    /** An address at which the daemon listens is held by others; it is tried again for a while. */
    @EventInfo(number = 1005, level = EventLevel.WARN)
    record PortHeld(String address, String error) implements LifecycleEvent {}

    /** An error that no other event describes. */
    @EventInfo(number = 1099, level = EventLevel.ERROR)
    record UnexpectedError(String step, String error) implements LifecycleEvent {}
}
