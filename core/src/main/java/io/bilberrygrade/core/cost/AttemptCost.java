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

    /** Returns the predicted time until the first event, or to the end for a plain service. */
    public double predictedMillis() {
        return (waitMillis + prediction.ownMillis()) / prediction.speed();
    }
}
