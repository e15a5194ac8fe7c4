package io.bilberrygrade.serving.settings;

/**
 * Mechanisms that a measurement or a test can disable to show the effect of each. A deployment runs
 * with all of them enabled.
 */
public enum Mechanism {
    PREFIX_AFFINITY,
    CONFINEMENT,
    ADMISSION,
    GANG_STEWARD,
    CLASS_SHARES,
    TEAM_FAIRNESS,
    RETRY_BUDGET,
    EJECTION,
    AT_MOST_ONCE,
    KEY_GUARD,
    VERSION_GUARD,
    FENCING,
    RECLAIM,
    RESUME,
    LEAVING_GOSSIP
}
