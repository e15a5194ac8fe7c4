package io.bilberrygrade.core.admission;

import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Reason;
import java.time.Duration;
import java.time.Instant;

/**
 * Admits a request only if it is expected to meet its deadline and its class's target for the time
 * to first token. The target doesn't apply to a request whose own work alone takes longer. An early
 * refusal is worth more to a caller than a late failure.
 */
public final class AdmissionPolicy {
    private static final double DEADLINE_SAFETY_FACTOR = 1.25;
    private static final double TARGET_FRACTION = 0.8;

    private AdmissionPolicy() {}

    /**
     * Decides whether to admit a request.
     *
     * @param withinShare whether the request is within the share of its class and team
     */
    public static Admission decide(
            InferenceRequest request, Forecast forecast, boolean withinShare, Instant now) {
        Duration remaining = request.remaining(now);
        Duration needed = times(forecast.total(), DEADLINE_SAFETY_FACTOR);
        if (needed.compareTo(remaining) > 0) {
            return new Admission.Refused(
                    Reason.DEADLINE_UNREACHABLE,
                    "needs " + needed.toMillis() + " ms of " + remaining.toMillis() + " ms",
                    atMost(forecast.backlog(), needed.minus(remaining)));
        }
        if (!withinShare) {
            return new Admission.Refused(
                    Reason.CLASS_OVER_SHARE,
                    "class " + request.workClass().id() + " asks for more than its share",
                    forecast.backlog());
        }
        Duration target = times(request.workClass().timeToFirstToken(), TARGET_FRACTION);
        boolean missesTarget = forecast.timeToFirstToken().compareTo(target) > 0;
        if (missesTarget && forecast.timeToFirstTokenWhenIdle().compareTo(target) <= 0) {
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
