package io.bilberrygrade.core.room;

/**
 * Properties of a deployment that switch on decisions which other deployments don't need.
 *
 * @param contended whether callers compete for too little room at times, as the settings state
 * @param uneven whether the capacities of the fleet's instances differ widely
 */
public record FleetTraits(boolean contended, boolean uneven) {
    /** A deployment with none of the properties. */
    public static final FleetTraits NONE = new FleetTraits(false, false);

    /** Returns whether the deployment has any of the properties. */
    public boolean any() {
        return contended || uneven;
    }
}
