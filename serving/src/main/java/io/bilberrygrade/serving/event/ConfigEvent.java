package io.bilberrygrade.serving.event;

/** Events of the published configuration. */
public sealed interface ConfigEvent extends Event {
    /** A configuration version came into force on this daemon. */
    @EventInfo(number = 2001, level = EventLevel.INFO, audited = true)
    record InForce(long version, long previousVersion, String source) implements ConfigEvent {}

    /** A published version was rejected as invalid. */
    @EventInfo(number = 2002, level = EventLevel.ERROR)
    record Rejected(long version, String source, String faults) implements ConfigEvent {}

    /** The configuration service could not be read. */
    @EventInfo(number = 2003, level = EventLevel.WARN)
    record SourceUnavailable(String peer, String error) implements ConfigEvent {}

    /**
     * A configuration changed a class, team, model or endpoint; {@code from} or {@code to} is
     * absent if it was added or removed.
     */
    @EventInfo(number = 2005, level = EventLevel.INFO, audited = true)
    record ItemChanged(long version, String kind, String id, String from, String to)
            implements ConfigEvent {}

    /** A source offered an older version than the one in force, which was ignored. */
    @EventInfo(number = 2004, level = EventLevel.WARN)
    record StaleOffer(String source, long offeredVersion, long version) implements ConfigEvent {}

    /**
     * A starting daemon doesn't serve, because the only version that it can read is older than a
     * version in force at peers or seen by engines.
     */
    @EventInfo(number = 2006, level = EventLevel.ERROR)
    record BelowFloor(long version, long floor) implements ConfigEvent {}
}
