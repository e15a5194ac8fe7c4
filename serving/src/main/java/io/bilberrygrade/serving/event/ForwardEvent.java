package io.bilberrygrade.serving.event;

/**
 * Events of forwarded requests and of the state that forwarding relies on. Ages and durations are
 * in milliseconds.
 */
public sealed interface ForwardEvent extends Event {
    /** A request was read completely. */
    @EventInfo(number = 7001, level = EventLevel.INFO)
    record Accepted(
            String request,
            String route,
            String team,
            long promptTokens,
            String sharedParts,
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
            String rateLimit,
            long configVersion,
            long confirmedAgoMillis)
            implements ForwardEvent {}

    /** An attempt ended without a usable answer. */
    @EventInfo(number = 7003, level = EventLevel.INFO)
    record AttemptFailed(
            String request,
            int attempt,
            String endpoint,
            String delivery,
            String progress,
            String error,
            long millis)
            implements ForwardEvent {}

    /** A request was answered by an endpoint. */
    @EventInfo(number = 7004, level = EventLevel.INFO)
    record Answered(
            String request, int status, int attempts, long events, long firstMillis, long millis)
            implements ForwardEvent {}

    /** A request ended with this daemon's own answer, or was aborted. */
    @EventInfo(number = 7005, level = EventLevel.INFO)
    record NotServed(
            String request, String promise, String step, String reason, String detail, long millis)
            implements ForwardEvent {}

    /**
     * The caller's connection was closed in the middle of its answer, so that the part that it has
     * isn't taken for the whole.
     */
    @EventInfo(number = 7022, level = EventLevel.WARN)
    record AnswerCut(
            String request,
            String reason,
            String detail,
            int attempts,
            long events,
            long millis,
            long versionAtArrival,
            long configVersion)
            implements ForwardEvent {}

    /**
     * An endpoint has sent nothing of an answer for a time; {@code sentElsewhere} is whether the
     * request was sent to another endpoint as well.
     */
    @EventInfo(number = 7023, level = EventLevel.INFO)
    record EndpointSilent(
            String request,
            int attempt,
            String endpoint,
            String progress,
            long silentMillis,
            boolean sentElsewhere)
            implements ForwardEvent {}

    /**
     * The grace of a planned stop ended while requests ran. Those still running at endpoints or
     * waiting, and those being uploaded, were given a final answer; {@code unfinished} also counts
     * answers that slow callers haven't taken.
     */
    @EventInfo(number = 7024, level = EventLevel.WARN)
    record RequestsAbandoned(int running, int uploads, int unfinished) implements ForwardEvent {}

    /**
     * The number of engines for strict streams changed much; {@code spread} is whether they use all
     * since hardly any prefills long prompts. The others are what the number follows from.
     */
    @EventInfo(number = 7204, level = EventLevel.INFO)
    record StrictStreamEnginesChanged(
            int engines,
            int candidates,
            boolean spread,
            int streams,
            long unseenArrivals,
            long prefilling,
            long sumsAgeMillis)
            implements ForwardEvent {}

    /** The caller disconnected before its answer was complete; its work was cancelled. */
    @EventInfo(number = 7006, level = EventLevel.INFO)
    record CallerGone(String request, int attempts, long millis) implements ForwardEvent {}

    /** A caller's connection failed or sent bytes that are not a request. */
    @EventInfo(number = 7007, level = EventLevel.DEBUG)
    record CallerConnectionFailed(String error) implements ForwardEvent {}

    /** Memory on an engine was reserved for a request, refused or released. */
    @EventInfo(number = 7008, level = EventLevel.INFO)
    record MemoryReserved(
            String request, String endpoint, String reservation, long tokens, String outcome)
            implements ForwardEvent {}

    /** An endpoint's entry was added, changed or removed. */
    @EventInfo(number = 7011, level = EventLevel.INFO, audited = true)
    record EndpointChanged(String endpoint, String address, String change, String source)
            implements ForwardEvent {}

    /** An endpoint asked for a backoff; its time is 0 if the endpoint sent no valid one. */
    @EventInfo(number = 7016, level = EventLevel.INFO)
    record EndpointRests(String request, String endpoint, String seconds, long restMillis)
            implements ForwardEvent {}

    /**
     * The rate limit that an endpoint states began, changed or ended; {@code stated} is its text,
     * empty if the limit ended, and {@code applied} whether the text is a valid rate.
     */
    @EventInfo(number = 7019, level = EventLevel.INFO)
    record EndpointRateLimitChanged(String endpoint, String stated, boolean applied, String source)
            implements ForwardEvent {}

    /** An endpoint stated something about itself that this version doesn't know. */
    @EventInfo(number = 7020, level = EventLevel.WARN)
    record EndpointStatementUnknown(String endpoint, String name, String value)
            implements ForwardEvent {}

    /**
     * An endpoint crashed, as observed by this daemon or the peer that is the source, while it ran
     * requests that may be the cause. Parts are those of requests whose answers had just begun and
     * of those that the endpoint had only received.
     */
    @EventInfo(number = 7021, level = EventLevel.WARN)
    record EndpointCrashed(String endpoint, String begunParts, String waitingParts, String source)
            implements ForwardEvent {}

    /**
     * The requests at a crashed endpoint had more parts than are kept as evidence, so that the part
     * that is the cause may be missing.
     */
    @EventInfo(number = 7027, level = EventLevel.WARN)
    record CrashEvidenceCut(String endpoint, String source) implements ForwardEvent {}

    /**
     * An entry of the store can't be read and is ignored; logged once for each value of a key.
     * {@code length} is that of the encoded value.
     */
    @EventInfo(number = 7025, level = EventLevel.WARN)
    record EntryUnreadable(String key, int length) implements ForwardEvent {}

    /**
     * Entries of the store beyond those that are logged one by one can't be read and are ignored;
     * logged again if they change. {@code count} is their number in one answer.
     */
    @EventInfo(number = 7076, level = EventLevel.WARN)
    record MoreEntriesUnreadable(int count, String firstKey) implements ForwardEvent {}

    /**
     * The daemon follows another aggregator, in a fleet whose daemons state capacities. {@code
     * uneven} is whether these differ so widely that the class of capacity decides before the age.
     */
    @EventInfo(number = 7040, level = EventLevel.INFO)
    record AggregatorChanged(
            String aggregator,
            long processorMillis,
            long ageMillis,
            boolean uneven,
            long minProcessorMillis,
            long maxProcessorMillis)
            implements ForwardEvent {}

    /**
     * This daemon has become too slow for the role of aggregator and states so, or has recovered:
     * the median lateness of its timers, the fastest response to its calls as the aggregator, and
     * the time without delays that it then needs.
     */
    @EventInfo(number = 7041, level = EventLevel.WARN)
    record InstanceSlow(
            boolean slow, long timerLateMillis, long fastestResponseMillis, long holdMillis)
            implements ForwardEvent {}

    /** The store could not be read. */
    @EventInfo(number = 7012, level = EventLevel.WARN)
    record StoreLost(String call, String error) implements ForwardEvent {}

    /**
     * Connections to the store were replaced by new ones, since one of them seemed dead. The store
     * counts as lost only if a new connection fails as well.
     */
    @EventInfo(number = 7026, level = EventLevel.INFO)
    record StoreReconnected(String reason) implements ForwardEvent {}

    /** The store can be read again. */
    @EventInfo(number = 7013, level = EventLevel.INFO)
    record StoreRegained(String call, long lostForMillis) implements ForwardEvent {}

    /**
     * The store was restored from an older copy. This daemon keeps its configuration in force and
     * reads the endpoints again.
     */
    @EventInfo(number = 7017, level = EventLevel.WARN, audited = true)
    record StoreCameBackOlder(
            long eraBefore, long eraNow, long storeRevision, long configVersionKept)
            implements ForwardEvent {}

    /** A peer sent its newer configuration, which was applied or rejected. */
    @EventInfo(number = 7018, level = EventLevel.INFO)
    record ConfigHandedOn(String peer, long version, String outcome) implements ForwardEvent {}

    /** The readiness that the daemon reports to the platform changed. */
    @EventInfo(number = 7014, level = EventLevel.INFO, audited = true)
    record ReadinessChanged(boolean ready, String reason, long confirmedAgoMillis)
            implements ForwardEvent {}

    /** Settings were reloaded and differ. */
    @EventInfo(number = 7015, level = EventLevel.INFO, audited = true)
    record SettingsReloaded(String inForce, String atNextStart) implements ForwardEvent {}
}
