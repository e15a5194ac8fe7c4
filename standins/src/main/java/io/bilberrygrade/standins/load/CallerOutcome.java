package io.bilberrygrade.standins.load;

/** Outcome of a request as its caller observes it; unknown after a lost connection. */
public enum CallerOutcome {
    DONE,
    NOT_RUN,
    UNKNOWN
}
