package io.bilberrygrade.core.admission;

import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Reason;
import java.time.Duration;
import java.time.Instant;

/**
 * Takes on only what is expected to keep its deadline and, unless its own work alone takes longer,
 * its class's target. A refusal now is worth more to a caller than a failure later.
 */
public final class AdmissionPolicy {
    private static final double DEADLINE_MARGIN = 1.25;
    private static final double TARGET_PART = 0.8;

    private AdmissionPolicy() {}

    /**
     * Decides on a request.
     *
     * @param inShare whether the request is within what its class and team may use
     */
    public static Admission decide(
            InferenceRequest request, Forecast forecast, boolean inShare, Instant now) {
        Duration remaining = request.remaining(now);
        Duration needed = times(forecast.total(), DEADLINE_MARGIN);
        if (needed.compareTo(remaining) > 0) {
            return new Admission.Refused(
                    Reason.DEADLINE_UNREACHABLE,
                    "needs " + needed.toMillis() + " ms of " + remaining.toMillis() + " ms",
                    atMost(forecast.backlog(), needed.minus(remaining)));
        }
        if (!inShare) {
            return new Admission.Refused(
                    Reason.CLASS_OVER_SHARE,
                    "class " + request.workClass().id() + " asks for more than its share",
                    forecast.backlog());
        }
        Duration target = times(request.workClass().timeToFirstToken(), TARGET_PART);
        boolean late = forecast.timeToFirstToken().compareTo(target) > 0;
        if (late && forecast.ownWork().compareTo(target) <= 0) {
            return new Admission.Refused(
                    Reason.OVERLOADED,
                    "the first token would take " + forecast.timeToFirstToken().toMillis() + " ms",
                    forecast.timeToFirstToken().minus(target));
        }
        return new Admission.Admitted();
    }

    private static Duration atMost(Duration bound, Duration d) {
        return d.compareTo(bound) < 0 ? d : bound;
    }

    private static Duration times(Duration d, double factor) {
        return Duration.ofNanos((long) (d.toNanos() * factor));
    }
}
