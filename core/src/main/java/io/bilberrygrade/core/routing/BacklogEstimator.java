package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import java.time.Duration;
import java.time.Instant;

/**
 * Estimates an engine's backlog from a report that lags: what the engine has worked off since the
 * report is taken off, what was sent since is added. Other daemons see the same report and are
 * likely to act on it as this one does, so short work sent since counts once for each daemon.
 */
public final class BacklogEstimator {
    private static final double NANOS_PER_SECOND = 1e9;

    private BacklogEstimator() {}

    /**
     * Returns the backlog at {@code now}; {@code daemons} counts the live daemons, this included.
     */
    public static Backlog estimate(
            EndpointLoad load,
            Iterable<OwnDispatch> own,
            PrefillRate rate,
            int daemons,
            Instant now) {
        double added = 0;
        double addedLong = 0;
        double done = 0;
        double doneLong = 0;
        for (OwnDispatch d : own) {
            boolean sentSince = d.sentAt().isAfter(load.measuredAt());
            boolean isLong = d.lane() == Lane.LONG;
            if (sentSince && d.prefilledAt().isEmpty()) {
                added += isLong ? 0 : d.tokens();
                addedLong += isLong ? d.tokens() : 0;
            } else if (!sentSince && prefilledSince(d, load)) {
                done += isLong ? 0 : d.tokens();
                doneLong += isLong ? d.tokens() : 0;
            }
        }
        double worked = workedOff(load, rate, now);
        double reportedLong = load.queuedTokens() - load.queuedShortTokens();
        double workedLong = Math.max(0, worked - load.queuedShortTokens());
        return new Backlog(
                Math.max(0, load.queuedShortTokens() - Math.max(worked, done)) + added * daemons,
                Math.max(0, reportedLong - Math.max(workedLong, doneLong)) + addedLong);
    }

    private static boolean prefilledSince(OwnDispatch dispatch, EndpointLoad load) {
        return dispatch.prefilledAt().filter(t -> t.isAfter(load.measuredAt())).isPresent();
    }

    private static double workedOff(EndpointLoad load, PrefillRate rate, Instant now) {
        double nanos = Math.max(0, Duration.between(load.measuredAt(), now).toNanos());
        return rate.tokensPerSecond() * nanos / NANOS_PER_SECOND;
    }
}
