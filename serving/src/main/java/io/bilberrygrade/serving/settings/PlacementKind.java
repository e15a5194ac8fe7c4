package io.bilberrygrade.serving.settings;

/** Placement policies; all but the predictive one are baselines for measurements. */
public enum PlacementKind {
    PREDICTIVE,
    LEAST_OUTSTANDING,
    ROUND_ROBIN
}
