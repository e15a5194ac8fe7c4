package io.bilberrygrade.serving.settings;

import com.google.common.collect.ImmutableSet;

/** Placement policy and switched-off mechanisms, for measurements and tests only. */
public record PolicySettings(PlacementKind placement, ImmutableSet<Mechanism> disabled) {
    /** What a deployment runs with. */
    public static final PolicySettings FULL =
            new PolicySettings(PlacementKind.PREDICTIVE, ImmutableSet.of());

    /** Returns whether a mechanism is on. */
    public boolean enabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
