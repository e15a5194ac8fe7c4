package io.bilberrygrade.core.request;

/** Step of the filter chain at which a request was answered or an error arose. */
public enum Step {
    PARSE,
    IDENTIFY,
    DEADLINE,
    CLASSIFY,
    ADMISSION,
    AT_MOST_ONCE,
    ROUTE,
    DISPATCH,
    RELAY,
    PEER_CALL,
    CONFIGURATION,
    MEMBERSHIP,
    ORDER,
    RECLAIM,
    OPERATOR_CALL
}
