package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;

/** Maps outcomes to HTTP statuses. */
final class StatusCodes {
    private static final int OK = 200;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int BAD_GATEWAY = 502;

    private StatusCodes() {}

    static int of(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Done d -> OK;
            case Outcome.NotRun n -> ofRefusal(n.reason());
            case Outcome.Unknown u -> ofUnknown(u.reason());
        };
    }

    private static int ofUnknown(Reason reason) {
        return switch (reason) {
            case DEADLINE_PAST, DEADLINE_UNREACHABLE -> GATEWAY_TIMEOUT;
            case PROMPT_QUARANTINED,
                    REQUEST_QUARANTINED,
                    NO_ENDPOINT,
                    EVACUATED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_FAILED,
                    CALLER_GONE ->
                    BAD_GATEWAY;
            default -> ofRefusal(reason);
        };
    }

    private static int ofRefusal(Reason reason) {
        return switch (reason) {
            case MALFORMED,
                    DEADLINE_MISSING,
                    DEADLINE_PAST,
                    KEY_MISSING,
                    KEY_INVALID,
                    UNKNOWN_CLASS,
                    UNKNOWN_MODEL ->
                    400;
            case BAD_CREDENTIALS -> 401;
            case UNKNOWN_SERVICE -> 404;
            case KEY_EXPIRED, KEY_ANSWER_NOT_KEPT -> 410;
            case KEY_REUSED -> 422;
            case BODY_STALLED -> 408;
            case TOO_LARGE -> 413;
            case HEADERS_TOO_LARGE -> 431;
            case CLASS_OVER_SHARE, OVERLOADED, OUTRANKED, DEADLINE_UNREACHABLE -> 429;
            case NOT_READY,
                    DRAINING,
                    NO_ENDPOINT,
                    EVACUATED,
                    PROMPT_QUARANTINED,
                    REQUEST_QUARANTINED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_FAILED,
                    KEY_HOME_UNREACHABLE,
                    KEY_HOME_CHANGED,
                    CONFIGURATION_STALE,
                    REPEATS_EXHAUSTED,
                    CALLER_GONE ->
                    503;
        };
    }
}
