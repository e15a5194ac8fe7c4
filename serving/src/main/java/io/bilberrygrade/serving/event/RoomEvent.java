package io.bilberrygrade.serving.event;

/** Events of what restricts the room for requests. Ages are in milliseconds. */
public sealed interface RoomEvent extends Event {
    /**
     * A data centre was marked as evacuated ({@code marked}), its mark ended ({@code withdrawn}),
     * or a complete read lacks the mark after the store was restored from an older copy ({@code
     * kept}).
     */
    @EventInfo(number = 7028, level = EventLevel.WARN, audited = true)
    record DataCentreEvacuation(
            String dataCentre,
            String change,
            long era,
            long revision,
            long markAgeMillis,
            String source)
            implements RoomEvent {}

    /**
     * An endpoint's run became cold, so that requests to it need permits, or is no longer cold.
     * {@code entryLeftMillis} is the time for which its entry says that it stays cold, -1 if it
     * doesn't say; {@code ageMillis} is the time since its start, -1 if unknown; {@code perSecond}
     * is the rate at which permits are granted, -1 without a limit.
     */
    @EventInfo(number = 7030, level = EventLevel.INFO)
    record EndpointColdness(
            String endpoint, boolean cold, long entryLeftMillis, long ageMillis, double perSecond)
            implements RoomEvent {}

    /** An attempt was stopped before it reached an endpoint of an evacuated data centre. */
    @EventInfo(number = 7029, level = EventLevel.INFO)
    record SendStopped(String request, int attempt, String endpoint, String dataCentre, long millis)
            implements RoomEvent {}
}
