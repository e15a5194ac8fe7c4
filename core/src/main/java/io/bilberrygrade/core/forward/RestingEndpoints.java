package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Endpoints that have asked for nothing for some time. Unlike an endpoint in bad health, which may
 * be tried when all others are worse, one that has asked for rest gets nothing until it is over.
 */
public final class RestingEndpoints {
    /** Longest rest that is believed; a longer one is an endpoint's mistake. */
    static final Duration MAX_REST = Duration.ofHours(1);

    /** Part of the rest over which daemons come back, so that they don't in one moment. */
    private static final double SPREAD_PART = 0.25;

    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<EndpointRun, Instant> mUntil = new HashMap<>();

    /**
     * Returns the rest that an endpoint asks for in seconds, fractions allowed; empty if the text
     * isn't a time that lies ahead.
     */
    public static Optional<Duration> parse(String seconds) {
        return Optional.ofNullable(Doubles.tryParse(seconds.strip()))
                .filter(s -> s > 0)
                .map(s -> Math.min(s * MILLIS_PER_SECOND, (double) MAX_REST.toMillis()))
                .map(millis -> Duration.ofMillis((long) Math.ceil(millis)));
    }

    /**
     * Takes note that a run has asked for rest; a shorter one doesn't end a longer one. {@code
     * draw} is uniform in [0, 1).
     */
    public void rest(EndpointRun run, Duration rest, double draw, Instant now) {
        double most = Math.min(rest.toMillis() * SPREAD_PART, (double) MAX_SPREAD.toMillis());
        Instant until = now.plus(rest).plusMillis(Math.round(draw * most));
        mUntil.merge(run, until, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether a run is to get nothing now. */
    public boolean resting(EndpointRun run, Instant now) {
        Instant until = mUntil.get(run);
        return until != null && now.isBefore(until);
    }

    /** Returns when the first of the endpoints may get work again; empty if one may now. */
    public Optional<Instant> firstReturn(ImmutableList<RegisteredEndpoint> endpoints, Instant now) {
        return endpoints.stream().allMatch(e -> resting(e.run(), now))
                ? endpoints.stream().map(e -> mUntil.get(e.run())).min(Instant::compareTo)
                : Optional.empty();
    }

    /** Forgets rests that are over. */
    public void forgetOld(Instant now) {
        mUntil.values().removeIf(until -> !until.isAfter(now));
    }
}
