package io.bilberrygrade.serving.event;

/** Events of requests that are handed over to peers, since no endpoint can be reached. */
public sealed interface RelayEvent extends Event {
    /**
     * No endpoint of a service can be reached from here, since several in a row couldn't be. {@code
     * relays} is the number of peers that are known to take requests, {@code evidenceMillis} the
     * time since the first endpoint failed.
     */
    @EventInfo(number = 7070, level = EventLevel.WARN)
    record EndpointsUnreachable(
            String service,
            String lastEndpoint,
            String error,
            int unreachable,
            int registered,
            long evidenceMillis,
            int relays)
            implements RelayEvent {}

    /** Endpoints of a service can be reached again, as connects on trial have shown. */
    @EventInfo(number = 7071, level = EventLevel.WARN)
    record EndpointsReachable(String service, long cutMillis, long handedOverTotal)
            implements RelayEvent {}

    /** A request was handed over to a peer. */
    @EventInfo(number = 7072, level = EventLevel.INFO)
    record HandedOver(String request, int attempt, String relay, long remainingMillis)
            implements RelayEvent {}

    /** A peer didn't take a request, or its answer was broken off. */
    @EventInfo(number = 7073, level = EventLevel.INFO)
    record HandOverFailed(String request, String relay, String delivery, String detail, long millis)
            implements RelayEvent {}

    /** A peer handed over a request, and got a refusal at once. */
    @EventInfo(number = 7074, level = EventLevel.INFO)
    record HandOverRefused(String request, String cause, int running, long bodyBytes)
            implements RelayEvent {}
}
