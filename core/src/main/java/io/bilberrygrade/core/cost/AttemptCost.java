package io.bilberrygrade.core.cost;

import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import java.util.OptionalDouble;

/**
 * Predicted cost of one attempt, with the state on which its observed time depends.
 *
 * @param known work that was known of the endpoint when it was chosen
 * @param waitMillis predicted time until the endpoint starts on the prompt; 0 for a plain service
 * @param split whether other engines prefill parts of the prompt
 */
public record AttemptCost(
        CostPrediction prediction,
        RegisteredEndpoint endpoint,
        EndpointWork known,
        double waitMillis,
        boolean split) {
    /** Part of the published time that a stream takes at least, if its wait was overestimated. */
    private static final double MIN_PART = 0.25;

    private static final double MAX_RATIO = 8;

    /**
     * Ratio up to which the published figures count as right. Waits that aren't known raise it to
     * 1.25 at steady demand in a simulated fleet whose published figures are exact.
     */
    private static final double EVEN = 1.5;

    /** Longer than a request may wait; keeps the fleet's sums from overflowing. */
    private static final long MAX_WORK_MILLIS = 3_600_000;

    /**
     * Returns the time that the request itself took, of the time until its first event, or to its
     * end for a plain service. Empty if it may have waited for a slot for an unknown time.
     */
    OptionalDouble ownMillis(double observedMillis) {
        int slots = Math.max(1, endpoint.slots());
        int calls = Math.max(0, known.calls());
        if (prediction.key().band().isEmpty()) {
            return OptionalDouble.of(observedMillis * Math.min(1, (double) slots / (calls + 1)));
        }
        double own = observedMillis - waitMillis / prediction.speed();
        return calls >= slots
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.max(own, MIN_PART * prediction.publishedMillis()));
    }

    /**
     * Returns the factor by which the published prefill times are multiplied in the reported work;
     * bounded so that a fault of the prediction doesn't hide an endpoint's other work. The time of
     * a prompt that is split depends on other engines too and doesn't change them.
     */
    public double prefillFactor() {
        double ratio = prediction.ownMillis() / prediction.publishedMillis();
        boolean even = ratio > 1 / EVEN && ratio < EVEN;
        return split || even ? 1 : Math.clamp(ratio, 1 / MAX_RATIO, MAX_RATIO);
    }

    /** Returns the work to report for a plain request; 0 while its cost isn't known. */
    public long workMillis() {
        return prediction
                .learned()
                .map(d -> Math.clamp(Math.round(d.mean()), 1, MAX_WORK_MILLIS))
                .orElse(0L);
    }

    /** Returns the predicted time until the first event, or to the end for a plain service. */
    public double predictedMillis() {
        return (waitMillis + prediction.ownMillis()) / prediction.speed();
    }
}
