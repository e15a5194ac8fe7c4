package io.bilberrygrade.serving.event;

/**
 * Events of requests that compete for capacity. Times are in milliseconds; {@code sumsAgeMillis} is
 * the time since the other instances' part of {@code calls} was received.
 */
public sealed interface ContentionEvent extends Event {
    /**
     * A request was refused so that others are in time, or since it couldn't be served any more.
     * {@code promised} is whether capacity is kept for its return, and {@code admitted} counts the
     * requests that were admitted lately, by rank and team.
     */
    @EventInfo(number = 7201, level = EventLevel.INFO)
    record RequestRefused(
            String request,
            String cause,
            int rank,
            String team,
            long waitMillis,
            long firstMillis,
            long goalMillis,
            long timeLeftMillis,
            int calls,
            int slots,
            long ahead,
            long sumsAgeMillis,
            long retryAfterMillis,
            boolean promised,
            String admitted)
            implements ContentionEvent {}

    /** A request was admitted although it will be late, or while its rank is crowded. */
    @EventInfo(number = 7202, level = EventLevel.INFO)
    record RequestAdmitted(
            String request,
            String cause,
            int rank,
            int runAs,
            long waitMillis,
            long firstMillis,
            long goalMillis,
            int calls,
            int slots,
            long sumsAgeMillis)
            implements ContentionEvent {}

    /** The requests of a rank began or ceased to be late because there are too many. */
    @EventInfo(number = 7203, level = EventLevel.INFO)
    record RankCrowded(
            String service,
            int rank,
            boolean crowded,
            long waitMillis,
            int calls,
            int slots,
            long sumsAgeMillis)
            implements ContentionEvent {}
}
