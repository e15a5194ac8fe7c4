package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.peer.KeyedOutcome;
import java.time.Duration;
import java.util.Optional;

/** Creates outcomes of calls under keys and converts them for callers. */
final class KeyedOutcomes {
    private static final long OVERHEAD_BYTES = 256;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private KeyedOutcomes() {}

    static KeyedOutcome unknown(Reason reason, String detail) {
        return new KeyedOutcome.Unknown(Step.AT_MOST_ONCE, reason, detail, retryAfter(reason));
    }

    static KeyedOutcome notRun(Reason reason, String detail) {
        return new KeyedOutcome.NotRun(Step.AT_MOST_ONCE, reason, detail, retryAfter(reason));
    }

    static KeyedOutcome failed(String detail) {
        return new KeyedOutcome.Unknown(
                Step.DISPATCH, Reason.ENDPOINT_FAILED, detail, Optional.empty());
    }

    /** Returns the approximate memory size of an outcome, in bytes. */
    static long bytes(KeyedOutcome outcome) {
        return OVERHEAD_BYTES + (outcome instanceof KeyedOutcome.Done d ? d.body().length() : 0);
    }

    /** Converts an outcome to the form that the caller gets. */
    static Outcome toOutcome(KeyedOutcome outcome, String home) {
        return switch (outcome) {
            case KeyedOutcome.Done d -> new Outcome.Done(0);
            case KeyedOutcome.NotRun n ->
                    new Outcome.NotRun(
                            n.step(),
                            n.reason(),
                            n.detail(),
                            Optional.of(home),
                            n.retryAfterMillis().map(Duration::ofMillis));
            case KeyedOutcome.Unknown u ->
                    new Outcome.Unknown(
                            u.step(),
                            u.reason(),
                            u.detail(),
                            Optional.of(home),
                            u.retryAfterMillis().map(Duration::ofMillis));
        };
    }

    private static Optional<Long> retryAfter(Reason reason) {
        return switch (reason) {
            case KEY_HOME_UNREACHABLE, DRAINING, DEADLINE_PAST -> Optional.of(RETRY_AFTER_MILLIS);
            default -> Optional.empty();
        };
    }
}
