package io.bilberrygrade.core.request;

/** Reasons for an outcome other than a whole answer. */
public enum Reason {
    MALFORMED,
    TOO_LARGE,
    BAD_CREDENTIALS,
    UNKNOWN_CLASS,
    UNKNOWN_MODEL,
    UNKNOWN_SERVICE,
    DEADLINE_MISSING,
    DEADLINE_PAST,
    DEADLINE_UNREACHABLE,
    KEY_MISSING,
    KEY_EXPIRED,
    KEY_HOME_UNREACHABLE,
    KEY_HOME_CHANGED,
    CLASS_OVER_SHARE,
    OVERLOADED,
    NOT_READY,
    DRAINING,
    NO_ENDPOINT,
    ENDPOINT_REFUSED,
    ENDPOINT_FAILED,
    CALLER_GONE
}
