package io.bilberrygrade.core.room;

import io.bilberrygrade.core.identity.Address;
import java.util.Optional;

/**
 * Parts of the settings that only some deployments state, and that switch on what the others don't
 * need.
 *
 * @param contended whether callers compete for too little capacity at times
 * @param capacity capacity of the daemon, if stated
 * @param room bounds that restrict which endpoints get requests
 * @param relay address at which the daemon takes over requests of peers that are cut off from the
 *     endpoints, if it does
 */
public record DeploymentOptions(
        boolean contended, Optional<Capacity> capacity, RoomBounds room, Optional<Address> relay) {
    /** Options of a deployment that states none. */
    public static final DeploymentOptions NONE =
            new DeploymentOptions(false, Optional.empty(), RoomBounds.NONE);

    /** Creates the options of a deployment whose daemons don't take over requests. */
    public DeploymentOptions(boolean contended, Optional<Capacity> capacity, RoomBounds room) {
        this(contended, capacity, room, Optional.empty());
    }
}
