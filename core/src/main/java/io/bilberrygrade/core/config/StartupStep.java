package io.bilberrygrade.core.config;

/** Next step of a starting daemon. */
public enum StartupStep {
    /** Ask peers which version is in force. */
    ASK_PEERS,
    /** Ask engines for the highest fencing token that they have seen. */
    ASK_ENGINES,
    /** Wait until a sufficiently new version can be read. */
    AWAIT_VERSION,
    /** Accept requests. */
    SERVE
}
