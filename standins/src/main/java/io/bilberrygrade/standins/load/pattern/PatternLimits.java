package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.ratelimit.EndpointRateLimits;
import io.bilberrygrade.core.ratelimit.PermitRequest;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.core.ratelimit.RateLimitAllocator;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Engines that state a rate limit, of which all daemons know without delay how much is left. How
 * daemons that don't know of each other divide a limit is tested with the exchange of work.
 */
final class PatternLimits {
    /** Rate limit of an engine as a part of its mean rate of requests. */
    private static final double LIMIT_FRACTION = 0.7;

    private static final PermitRequest NOTHING = new PermitRequest(0, false);
    private static final PermitRequest ONE = new PermitRequest(1, false);

    private final EndpointRateLimits mLimits = new EndpointRateLimits();
    private final RateLimitAllocator mPermits = new RateLimitAllocator();

    /** Limits a fraction of the engines, those with the lowest ids. */
    void start(
            FleetProfile fleet, Collection<BatchingEngine> engines, double fraction, Instant now) {
        double arrivalsPerSecond =
                fleet.classes().stream().mapToDouble(PatternClass::meanArrivalsPerSecond).sum();
        RateLimit limit = new RateLimit(LIMIT_FRACTION * arrivalsPerSecond / fleet.engines());
        engines.stream()
                .map(e -> e.endpoint().run())
                .sorted(Comparator.comparing(r -> r.id().value()))
                .limit((long) (fleet.engines() * fraction))
                .forEach(r -> mLimits.recordLimit(r, limit, now));
    }

    void fill(Instant now) {
        mPermits.fill(mLimits, 1, now);
    }

    boolean isLimited(RegisteredEndpoint engine) {
        return mLimits.of(engine.run()).isPresent();
    }

    /** Returns whether an engine accepts a request. */
    boolean accepts(RegisteredEndpoint engine, Instant now) {
        return !isLimited(engine)
                || mPermits.grant(engine.run(), NOTHING, now)
                        .nextIn()
                        .filter(Duration::isZero)
                        .isPresent();
    }

    /** Counts a request at each engine of a placement. */
    void use(StreamPlacement placed, Instant now) {
        Stream.concat(Stream.of(placed.first()), placed.helpers().stream())
                .filter(this::isLimited)
                .forEach(e -> mPermits.grant(e.run(), ONE, now));
    }
}
