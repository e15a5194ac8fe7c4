package io.bilberrygrade.core.room;

import java.util.Optional;

/**
 * Parts of the settings that only some deployments state, and that switch on what the others don't
 * need.
 *
 * @param contended whether callers compete for too little capacity at times
 * @param capacity capacity of the daemon, if stated
 * @param room bounds that restrict which endpoints get requests
 */
public record DeploymentOptions(boolean contended, Optional<Capacity> capacity, RoomBounds room) {
    /** Options of a deployment that states none. */
    public static final DeploymentOptions NONE =
            new DeploymentOptions(false, Optional.empty(), RoomBounds.NONE);
}
