package io.bilberrygrade.serving.event;

/**
 * Events of forwarded requests and of what forwarding believes. Ages and durations are in
 * milliseconds.
 */
public sealed interface ForwardEvent extends Event {
    /** A request was read whole. */
    @EventInfo(number = 7001, level = EventLevel.INFO)
    record Accepted(
            String request,
            String route,
            String team,
            long promptTokens,
            long timeLeftMillis,
            long configVersion)
            implements ForwardEvent {}

    /** A request was sent to an endpoint. */
    @EventInfo(number = 7002, level = EventLevel.INFO)
    record Sent(
            String request,
            int attempt,
            String endpoint,
            String helpers,
            long timeLeftMillis,
            int candidates,
            String work,
            long configVersion,
            long confirmedAgoMillis)
            implements ForwardEvent {}

    /** A sending ended without an answer that can be used. */
    @EventInfo(number = 7003, level = EventLevel.INFO)
    record AttemptFailed(
            String request,
            int attempt,
            String endpoint,
            String delivery,
            String error,
            long millis)
            implements ForwardEvent {}

    /** A request was answered by an endpoint. */
    @EventInfo(number = 7004, level = EventLevel.INFO)
    record Answered(
            String request, int status, int attempts, long events, long firstMillis, long millis)
            implements ForwardEvent {}

    /** A request ended with an answer of this daemon, or was broken off. */
    @EventInfo(number = 7005, level = EventLevel.INFO)
    record NotServed(
            String request, String promise, String step, String reason, String detail, long millis)
            implements ForwardEvent {}

    /** The caller went away before its answer had ended; the work for it was cancelled. */
    @EventInfo(number = 7006, level = EventLevel.INFO)
    record CallerGone(String request, int attempts, long millis) implements ForwardEvent {}

    /** A caller's connection failed or carried bytes that are no request. */
    @EventInfo(number = 7007, level = EventLevel.DEBUG)
    record CallerConnectionFailed(String error) implements ForwardEvent {}

    /** Memory on an engine was reserved for a request, refused, or given back. */
    @EventInfo(number = 7008, level = EventLevel.INFO)
    record MemoryReserved(
            String request, String endpoint, String reservation, long tokens, String outcome)
            implements ForwardEvent {}

    /** An endpoint's entry came, changed or vanished. */
    @EventInfo(number = 7011, level = EventLevel.INFO, audited = true)
    record EndpointChanged(String endpoint, String address, String change, String source)
            implements ForwardEvent {}

    /** An endpoint wants nothing for a time; 0 if what it wrote is no time. */
    @EventInfo(number = 7016, level = EventLevel.INFO)
    record EndpointRests(String request, String endpoint, String seconds, long restMillis)
            implements ForwardEvent {}

    /** The store could not be read. */
    @EventInfo(number = 7012, level = EventLevel.WARN)
    record StoreLost(String call, String error) implements ForwardEvent {}

    /** The store answers again. */
    @EventInfo(number = 7013, level = EventLevel.INFO)
    record StoreRegained(String call, long lostForMillis) implements ForwardEvent {}

    /**
     * The store came back from an older copy. What this daemon has in force stays; the endpoints
     * are read again.
     */
    @EventInfo(number = 7017, level = EventLevel.WARN, audited = true)
    record StoreCameBackOlder(
            long eraBefore, long eraNow, long storeRevision, long configVersionKept)
            implements ForwardEvent {}

    /** A peer handed its newer configuration on, or what it sent was not taken. */
    @EventInfo(number = 7018, level = EventLevel.INFO)
    record ConfigHandedOn(String peer, long version, String outcome) implements ForwardEvent {}

    /** Whether the daemon tells the platform that it takes callers has changed. */
    @EventInfo(number = 7014, level = EventLevel.INFO, audited = true)
    record ReadinessChanged(boolean ready, String reason, long confirmedAgoMillis)
            implements ForwardEvent {}

    /** Settings were read again and differ. */
    @EventInfo(number = 7015, level = EventLevel.INFO, audited = true)
    record SettingsReloaded(String inForce, String atNextStart) implements ForwardEvent {}
}
