package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import java.time.Instant;
import java.util.Optional;

/**
 * Request that this daemon sent to an engine, with its uncached tokens and the end of its prefill.
 */
public record OwnDispatch(Lane lane, long tokens, Instant sentAt, Optional<Instant> prefilledAt) {
    /** Returns this dispatch with its prefill ended. */
    public OwnDispatch prefilled(Instant now) {
        return new OwnDispatch(lane, tokens, sentAt, Optional.of(now));
    }
}
