package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;

/**
 * Maps outcomes to the HTTP status of this daemon's own answers. A 503 guarantees that the request
 * didn't run and never will; 502 and 504 guarantee nothing.
 */
final class ForwardStatus {
    private ForwardStatus() {}

    static int of(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Done d -> 200;
            case Outcome.NotRun n -> ofRefusal(n.reason());
            case Outcome.Unknown u -> u.reason() == Reason.DEADLINE_PAST ? 504 : 502;
        };
    }

    private static int ofRefusal(Reason reason) {
        return switch (reason) {
            case MALFORMED -> 400;
            case BAD_CREDENTIALS -> 401;
            case UNKNOWN_SERVICE -> 404;
            case BODY_STALLED -> 408;
            case TOO_LARGE -> 413;
            case HEADERS_TOO_LARGE -> 431;
            default -> 503;
        };
    }
}
