package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.time.Instant;

/**
 * Number of strict streams in the fleet by the latest sums of work, and how it changes.
 *
 * @param streams strict streams of all daemons
 * @param growthPerMilli change of that number per millisecond; 0 if it is within the sampling error
 * @param prefilling engines with queued prefill of long prompts, or the number before if that was
 *     larger, which is forgotten while a strict stream runs
 * @param interval time between the last two sums; zero if there was only one
 * @param receivedAt when the latest sums were received
 */
public record StrictStreamTrend(
        int streams,
        double growthPerMilli,
        double prefilling,
        Duration interval,
        Instant receivedAt) {
    /**
     * Interval from which decisions by the sums alone are too late for a swing of the demand: about
     * half of the time in which a short prompt has to send its first event.
     */
    private static final Duration OLD_INTERVAL = Duration.ofMillis(150);

    /** Time after which an interval no longer says how often sums arrive; they expire then. */
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(2);

    /**
     * Duration of a strict stream, which tells arrivals from the number that runs. Half of it and
     * one and a half times as much gave the same results.
     */
    private static final double STREAM_MILLIS = 2_000;

    /** Standard deviations of a change of the number at a constant rate that are ignored. */
    private static final double IGNORED_DEVIATIONS = 2;

    /** Returns the trend after the first sums. */
    public static StrictStreamTrend first(int streams, int prefilling, Instant now) {
        return new StrictStreamTrend(streams, 0, prefilling, Duration.ZERO, now);
    }

    /** Returns the trend after the next sums. */
    public StrictStreamTrend next(int nextStreams, int nextPrefilling, Instant now) {
        Duration elapsed = Duration.between(receivedAt, now);
        if (elapsed.toMillis() <= 0 || elapsed.compareTo(MAX_INTERVAL) > 0) {
            return first(nextStreams, nextPrefilling, now);
        }
        double change = nextStreams - streams;
        double arrivals = (streams + nextStreams) / 2.0 / STREAM_MILLIS * elapsed.toMillis();
        // Arrivals and ends are each Poisson distributed at a constant rate.
        double deviation = Math.sqrt(2 * Math.max(1, arrivals));
        boolean significant = Math.abs(change) > IGNORED_DEVIATIONS * deviation;
        // Long prompts that come while streams run wait for them, so a gap between two is no end.
        double remembered = prefilling * Math.max(0, 1 - elapsed.toMillis() / STREAM_MILLIS);
        return new StrictStreamTrend(
                nextStreams,
                significant ? change / elapsed.toMillis() : 0,
                Math.max(nextPrefilling, remembered),
                elapsed,
                now);
    }

    /** Returns whether the sums arrive too seldom to follow a swing of the demand. */
    public boolean isOld() {
        return interval.compareTo(OLD_INTERVAL) >= 0;
    }

    /** Returns the mean age of the reports in the sums: half an interval more than the sums'. */
    public Duration age(Instant now) {
        return Duration.between(receivedAt, now).plus(interval.dividedBy(2));
    }

    /** Returns the fleet's arrivals of strict streams per millisecond. */
    double arrivalsPerMilli() {
        return Math.max(0, streams / STREAM_MILLIS + growthPerMilli);
    }

    /** Returns by how many strict streams the fleet grows while one runs. */
    double growthWhileOneRuns() {
        return Math.max(0, growthPerMilli) * STREAM_MILLIS;
    }

    /** Returns the part of the streams in the sums that still runs. */
    double remainingFraction(Instant now) {
        return Math.max(0, 1 - age(now).toMillis() / STREAM_MILLIS);
    }

    /**
     * Returns the strict streams that are placed after the reports in the sums and before the
     * daemons learn of a placement made now.
     */
    double unseenArrivals(Instant now) {
        return arrivalsPerMilli() * age(now).plus(interval).toMillis();
    }
}
