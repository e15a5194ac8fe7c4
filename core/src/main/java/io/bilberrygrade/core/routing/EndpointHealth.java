package io.bilberrygrade.core.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Record of an endpoint's failures. A failing endpoint is ejected for a time that doubles with each
 * failure; then a single request probes it, and its success lets the endpoint back in.
 */
public record EndpointHealth(int failures, Instant heldUntil, Instant probeUntil) {
    /** Health of an endpoint that has not failed. */
    public static final EndpointHealth GOOD = new EndpointHealth(0, Instant.MIN, Instant.MIN);

    private static final Duration FIRST_HOLD = Duration.ofSeconds(1);
    private static final Duration MAX_HOLD = Duration.ofSeconds(30);
    private static final Duration FIRST_REFUSAL_HOLD = Duration.ofMillis(250);
    private static final Duration MAX_REFUSAL_HOLD = Duration.ofSeconds(2);
    private static final Duration PROBE_TIME = Duration.ofSeconds(5);
    private static final int MAX_DOUBLINGS = 8;

    /** Returns the health after a failure, a broken stream or a first token that did not come. */
    public EndpointHealth failed(Instant now) {
        return held(now, FIRST_HOLD, MAX_HOLD);
    }

    /** Returns the health after the endpoint said that it takes no work at the moment. */
    public EndpointHealth refused(Instant now) {
        return held(now, FIRST_REFUSAL_HOLD, MAX_REFUSAL_HOLD);
    }

    /** Returns the health after a request was sent, which is a probe if the endpoint had failed. */
    public EndpointHealth sent(Instant now) {
        return failures == 0 ? this : new EndpointHealth(failures, heldUntil, now.plus(PROBE_TIME));
    }

    /** Returns whether the endpoint takes requests: it is in good health or due for a probe. */
    public boolean available(Instant now) {
        return failures == 0 || (!now.isBefore(heldUntil) && !now.isBefore(probeUntil));
    }

    private EndpointHealth held(Instant now, Duration first, Duration max) {
        Duration hold = first.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        Duration bounded = hold.compareTo(max) > 0 ? max : hold;
        return new EndpointHealth(failures + 1, now.plus(bounded), Instant.MIN);
    }
}
