package io.bilberrygrade.standins.load;

/** Outcomes as a caller sees them; a lost connection leaves the outcome unknown. */
public enum CallerOutcome {
    DONE,
    NOT_RUN,
    UNKNOWN
}
