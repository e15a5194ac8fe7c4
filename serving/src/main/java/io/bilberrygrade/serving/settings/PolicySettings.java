package io.bilberrygrade.serving.settings;

import com.google.common.collect.ImmutableSet;

/** Placement policy and disabled mechanisms; changed for measurements and tests only. */
public record PolicySettings(PlacementKind placement, ImmutableSet<Mechanism> disabled) {
    /** Settings of a deployment. */
    public static final PolicySettings FULL =
            new PolicySettings(PlacementKind.PREDICTIVE, ImmutableSet.of());

    /** Returns whether a mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
