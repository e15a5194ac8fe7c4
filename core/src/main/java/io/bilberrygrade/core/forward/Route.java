package io.bilberrygrade.core.forward;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Published rule for the requests of one host under one path prefix: its services, whether requests
 * may be repeated, and their time limits.
 *
 * @param timeout maximum time for which a request is kept waiting
 * @param goal latency target for the answer, or for the first event of a stream
 * @param gapGoal target for the longest gap between a stream's events
 * @param maxAttempts maximum number of endpoints to which one request may be sent
 * @param rank importance of its requests, unless their team states another
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        boolean resumable,
        Duration timeout,
        Duration goal,
        Optional<Duration> gapGoal,
        int maxAttempts,
        boolean open,
        ImmutableList<WeightedService> services,
        Optional<Rank> rank) {
    /** Creates the route; throws if it has no service or no positive total weight. */
    public Route {
        checkArgument(!services.isEmpty(), "route %s names no service", name);
        checkArgument(totalWeight(services) > 0, "route %s has no weight", name);
    }

    /** Creates a route that states no rank. */
    public Route(
            String name,
            String host,
            String prefix,
            RouteKind kind,
            boolean resumable,
            Duration timeout,
            Duration goal,
            Optional<Duration> gapGoal,
            int maxAttempts,
            boolean open,
            ImmutableList<WeightedService> services) {
        this(
                name,
                host,
                prefix,
                kind,
                resumable,
                timeout,
                goal,
                gapGoal,
                maxAttempts,
                open,
                services,
                Optional.empty());
    }

    /** Returns whether a request may be executed more than once. */
    public boolean repeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /** Returns the service for a request; {@code draw} is uniform in [0, 1). */
    public ServiceId service(double draw) {
        double remaining = draw * totalWeight(services);
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return services.getLast().service();
    }

    private static double totalWeight(ImmutableList<WeightedService> services) {
        return services.stream().mapToDouble(WeightedService::weight).sum();
    }
}
