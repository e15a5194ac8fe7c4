package io.bilberrygrade.core.room;

import java.time.Duration;
import java.util.Optional;

/**
 * Bounds of a deployment that call for mechanisms which other deployments don't need.
 *
 * @param evacuation time from the mark of a data centre until no request may reach its endpoints;
 *     empty if the deployment has no such marks
 * @param cold bound of the requests to a cold endpoint; empty if there is none
 */
public record RoomBounds(Optional<Duration> evacuation, Optional<ColdBounds> cold) {
    /** A deployment without any of the bounds. */
    public static final RoomBounds NONE = new RoomBounds(Optional.empty(), Optional.empty());
}
