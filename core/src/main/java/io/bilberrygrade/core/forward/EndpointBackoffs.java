package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Endpoints that have asked daemons to back off for some time (Retry-After). An unhealthy endpoint
 * may still be tried if all others are worse, but one that has asked for a backoff gets no requests
 * until it is over.
 */
public final class EndpointBackoffs {
    /** Maximum backoff that is honoured; a longer one is considered an error of the endpoint. */
    static final Duration MAX_BACKOFF = Duration.ofHours(1);

    /**
     * Fraction of the backoff over which daemons spread their return, so that they don't all return
     * at once.
     */
    private static final double SPREAD_FRACTION = 0.25;

    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<EndpointRun, Instant> mUntil = new HashMap<>();

    /**
     * Parses the backoff that an endpoint asks for, in seconds with optional fractions; empty if
     * the text isn't a positive number.
     */
    public static Optional<Duration> parse(String seconds) {
        return Optional.ofNullable(Doubles.tryParse(seconds.strip()))
                .filter(s -> s > 0)
                .map(s -> Math.min(s * MILLIS_PER_SECOND, (double) MAX_BACKOFF.toMillis()))
                .map(millis -> Duration.ofMillis((long) Math.ceil(millis)));
    }

    /**
     * Records the backoff that a run has asked for; a shorter one doesn't end a longer one. {@code
     * draw} is uniform in [0, 1).
     */
    public void recordBackoff(EndpointRun run, Duration backoff, double draw, Instant now) {
        double maxSpreadMillis =
                Math.min(backoff.toMillis() * SPREAD_FRACTION, (double) MAX_SPREAD.toMillis());
        Instant until = now.plus(backoff).plusMillis(Math.round(draw * maxSpreadMillis));
        mUntil.merge(run, until, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether a run must not get requests now. */
    public boolean isBackingOff(EndpointRun run, Instant now) {
        Instant until = mUntil.get(run);
        return until != null && now.isBefore(until);
    }

    /**
     * Returns the earliest time at which one of the endpoints becomes available; empty if one is
     * available now.
     */
    public Optional<Instant> earliestAvailableAt(
            ImmutableList<RegisteredEndpoint> endpoints, Instant now) {
        return endpoints.stream().allMatch(e -> isBackingOff(e.run(), now))
                ? endpoints.stream().map(e -> mUntil.get(e.run())).min(Instant::compareTo)
                : Optional.empty();
    }

    /** Removes backoffs that are over. */
    public void removeExpired(Instant now) {
        mUntil.values().removeIf(until -> !until.isAfter(now));
    }
}
