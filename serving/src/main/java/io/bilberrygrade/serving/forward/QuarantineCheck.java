package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.quarantine.Quarantine;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.event.ShortList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

/** Checks before each attempt of a request whether it is known to crash endpoints. */
final class QuarantineCheck {
    /** Least time after which a caller whose request is quarantined may return. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(10);

    private final QuarantineController mController;
    private final Supplier<ImmutableSet<Suspect>> mSuspects;
    private boolean mTrial;

    QuarantineCheck(QuarantineController controller, Supplier<ImmutableSet<Suspect>> suspects) {
        mController = controller;
        mSuspects = suspects;
    }

    /**
     * Returns the outcome of a request that must not be sent.
     *
     * @param mayHaveRun whether an earlier attempt may have run
     */
    Optional<Outcome> check(boolean mayHaveRun, Instant now) {
        Optional<Quarantine> quarantine = mController.of(mSuspects, now);
        mTrial = quarantine.filter(q -> mController.trials().tryUse(q, now)).isPresent();
        return mTrial ? Optional.empty() : quarantine.map(q -> outcome(q, mayHaveRun, now));
    }

    private static Outcome outcome(Quarantine quarantine, boolean mayHaveRun, Instant now) {
        Reason reason =
                quarantine.suspects().stream().anyMatch(Suspect::isRequest)
                        ? Reason.REQUEST_QUARANTINED
                        : Reason.PROMPT_QUARANTINED;
        String detail =
                "endpoints crash on requests with ["
                        + ShortList.of(quarantine.suspects())
                        + "], seen "
                        + quarantine.crashes()
                        + " times";
        if (mayHaveRun) {
            return new Outcome.Unknown(
                    Step.ROUTE, reason, detail, Optional.empty(), Optional.empty());
        }
        Duration untilTrial = Duration.between(now, quarantine.trialAt());
        return Outcome.notRun(
                Step.ROUTE,
                reason,
                detail,
                untilTrial.compareTo(MIN_RETRY_AFTER) > 0 ? untilTrial : MIN_RETRY_AFTER);
    }

    /** Returns whether the attempt is a trial of a quarantined request. */
    boolean isTrial() {
        return mTrial;
    }

    /** Returns whether an attempt that has waited since the check may be sent. */
    boolean mayStillSend(Instant now) {
        return mTrial || mController.of(mSuspects, now).isEmpty();
    }
}
