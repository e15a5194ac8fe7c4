package io.bilberrygrade.core.config;

/** What a starting daemon has to do next. */
public enum StartupStep {
    /** Ask peers which version is in force. */
    ASK_PEERS,
    /** Ask engines for the highest fencing token that they have seen. */
    ASK_ENGINES,
    /** Wait until a version that is new enough can be read. */
    AWAIT_VERSION,
    /** Take requests. */
    SERVE
}
