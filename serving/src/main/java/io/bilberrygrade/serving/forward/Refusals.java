package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Refusals that several filters return. */
final class Refusals {
    /**
     * Age of the last confirmation up to which a refusal by the configuration is certain; slightly
     * above the interval of confirmations.
     */
    private static final Duration CONFIG_CERTAINTY_AGE = Duration.ofMillis(3_200);

    /** Detail of answers to requests that the planned stop of this instance has ended. */
    static final String STOPPING = "this instance is about to stop";

    private Refusals() {}

    static Uni<Outcome> notRun(Step step, Reason reason, String detail) {
        return Uni.createFrom().item(Outcome.notRun(step, reason, detail));
    }

    /**
     * Refuses for the given reason, or as stale while a newer configuration might allow the
     * request.
     */
    static Uni<Outcome> notRunUnlessStale(
            StateController state, Step step, Reason reason, String detail) {
        boolean isCertain =
                state.confirmationAge()
                        .filter(a -> a.compareTo(CONFIG_CERTAINTY_AGE) < 0)
                        .isPresent();
        return isCertain
                ? notRun(step, reason, detail)
                : notRun(step, Reason.CONFIGURATION_STALE, detail + ", but that may have changed");
    }
}
