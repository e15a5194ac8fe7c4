package io.bilberrygrade.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Failure history of an endpoint. A failing endpoint is ejected for a time that doubles with each
 * failure; then a single request probes it, and readmits it if it succeeds.
 */
public record EndpointHealth(int failures, Instant ejectedUntil, Instant probeUntil) {
    /** Health of an endpoint that has not failed. */
    public static final EndpointHealth GOOD = new EndpointHealth(0, Instant.MIN, Instant.MIN);

    private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);
    private static final Duration MAX_EJECTION = Duration.ofSeconds(30);
    private static final Duration FIRST_REFUSAL_EJECTION = Duration.ofMillis(250);
    private static final Duration MAX_REFUSAL_EJECTION = Duration.ofSeconds(2);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_DOUBLINGS = 8;

    /** Returns the health after a failed request, a broken stream or a missing first token. */
    public EndpointHealth failed(Instant now) {
        return ejected(now, FIRST_EJECTION, MAX_EJECTION);
    }

    /**
     * Returns the health after the endpoint refused a request because it takes no work at the
     * moment.
     */
    public EndpointHealth refused(Instant now) {
        return ejected(now, FIRST_REFUSAL_EJECTION, MAX_REFUSAL_EJECTION);
    }

    /** Returns the health after a request was sent, which is a probe if the endpoint had failed. */
    public EndpointHealth sent(Instant now) {
        return failures == 0
                ? this
                : new EndpointHealth(failures, ejectedUntil, now.plus(PROBE_TIMEOUT));
    }

    /**
     * Returns whether requests may be sent to the endpoint: it is in good health or due for a
     * probe.
     */
    public boolean available(Instant now) {
        return failures == 0 || (!now.isBefore(ejectedUntil) && !now.isBefore(probeUntil));
    }

    private EndpointHealth ejected(Instant now, Duration first, Duration max) {
        Duration ejection = first.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        Duration bounded = ejection.compareTo(max) > 0 ? max : ejection;
        return new EndpointHealth(failures + 1, now.plus(bounded), Instant.MIN);
    }
}
