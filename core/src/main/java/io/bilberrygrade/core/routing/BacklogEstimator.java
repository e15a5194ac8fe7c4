package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import java.time.Duration;
import java.time.Instant;

/**
 * Estimates an engine's current backlog from a delayed report: subtracts the work that the engine
 * has done since the report and adds the requests sent since. Other daemons see the same report and
 * probably react as this one does, so short work sent since counts once for each daemon.
 */
public final class BacklogEstimator {
    private static final double NANOS_PER_SECOND = 1e9;

    private BacklogEstimator() {}

    /**
     * Returns the backlog at {@code now}; {@code daemons} is the number of live daemons including
     * this one.
     */
    public static Backlog estimate(
            EndpointLoad load,
            Iterable<OwnDispatch> own,
            PrefillRate rate,
            int daemons,
            Instant now) {
        double sentShortTokens = 0;
        double sentLongTokens = 0;
        double prefilledShortTokens = 0;
        double prefilledLongTokens = 0;
        for (OwnDispatch d : own) {
            boolean sentSince = d.sentAt().isAfter(load.measuredAt());
            boolean isLong = d.lane() == Lane.LONG;
            if (sentSince && d.prefilledAt().isEmpty()) {
                sentShortTokens += isLong ? 0 : d.tokens();
                sentLongTokens += isLong ? d.tokens() : 0;
            } else if (!sentSince && prefilledSince(d, load)) {
                prefilledShortTokens += isLong ? 0 : d.tokens();
                prefilledLongTokens += isLong ? d.tokens() : 0;
            }
        }
        double workedTokens = tokensSinceReport(load, rate, now);
        double reportedLongTokens = load.queuedTokens() - load.queuedShortTokens();
        double workedLongTokens = Math.max(0, workedTokens - load.queuedShortTokens());
        return new Backlog(
                Math.max(0, load.queuedShortTokens() - Math.max(workedTokens, prefilledShortTokens))
                        + sentShortTokens * daemons,
                Math.max(0, reportedLongTokens - Math.max(workedLongTokens, prefilledLongTokens))
                        + sentLongTokens);
    }

    private static boolean prefilledSince(OwnDispatch dispatch, EndpointLoad load) {
        return dispatch.prefilledAt().filter(t -> t.isAfter(load.measuredAt())).isPresent();
    }

    private static double tokensSinceReport(EndpointLoad load, PrefillRate rate, Instant now) {
        double nanos = Math.max(0, Duration.between(load.measuredAt(), now).toNanos());
        return rate.tokensPerSecond() * nanos / NANOS_PER_SECOND;
    }
}
