package io.bilberrygrade.core.forward;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Published rule for the requests of one host under one path prefix: where they go, what may be
 * repeated and how long they may take.
 *
 * @param timeout longest time that a request is kept waiting
 * @param goal time within which the answer, or a stream's first event, is on time
 * @param pauseGoal longest pause between a stream's events that is still on time
 * @param maxAttempts most endpoints to which one request may be sent
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        boolean resumable,
        Duration timeout,
        Duration goal,
        Optional<Duration> pauseGoal,
        int maxAttempts,
        boolean open,
        ImmutableList<WeightedService> services) {
    /** Creates the route; refuses one without a service. */
    public Route {
        checkArgument(!services.isEmpty(), "route %s names no service", name);
        checkArgument(
                services.stream().mapToInt(WeightedService::weight).sum() > 0,
                "route %s has no weight",
                name);
    }

    /** Returns whether a request may run more than once. */
    public boolean repeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /** Returns the service for a request; {@code draw} is uniform in [0, 1). */
    public ServiceId service(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.getLast().service();
    }
}
