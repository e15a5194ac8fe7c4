package io.bilberrygrade.core.contention;

/**
 * When a request would be served, by figures that are as old as the fleet's sums.
 *
 * @param ahead queued requests that engines run before it
 * @param queueMillis time until it has a slot, and the prompts before it are read
 * @param waitMillis time until it has memory too
 * @param firstMillis time until its first event, or its answer
 * @param earliestMillis that time if the endpoints got no other work in the age of the sums
 */
public record Prediction(
        double ahead,
        double queueMillis,
        double waitMillis,
        double firstMillis,
        double earliestMillis) {
    /** Least part of the slots that requests of higher ranks leave to a rank, as is assumed. */
    private static final double MIN_LEFT = 0.1;

    /**
     * Returns the prediction for a request that is queued at the given rank. Those of higher ranks
     * that arrive meanwhile pass it, so that its rank gets the slots only that they leave.
     *
     * @param aheadFraction fraction of the requests in flight that engines run before it
     * @param higherFraction fraction of the requests in flight that are of higher ranks
     * @param slotMillis mean time for which a request uses a slot; 0 if it isn't known
     */
    static Prediction of(
            ServiceRequest request,
            ServiceLoad load,
            double aheadFraction,
            double higherFraction,
            double slotMillis) {
        double ahead = Math.max(0, load.calls() * aheadFraction - load.slots());
        double slots = Math.max(1, load.slots());
        double left = Math.max(MIN_LEFT, 1 - load.calls() * higherFraction / slots);
        double slotWait = ahead * slotMillis / (slots * left);
        // Prompts of lower ranks that have no slot yet are read after this one.
        double queue = Math.max(load.readMillis() * aheadFraction, slotWait);
        double wait = Math.max(queue, memoryWait(request, load, slotMillis));
        double earliestWait = Math.max(0, wait - load.age().toMillis());
        return new Prediction(
                ahead,
                queue,
                wait,
                wait + request.readMillis(),
                earliestWait + request.readMillis());
    }

    /** The requests in flight free their memory evenly over the time that they use their slots. */
    private static double memoryWait(ServiceRequest request, ServiceLoad load, double slotMillis) {
        long missing = load.tokens() + request.length() - load.memoryTokens();
        return load.memoryTokens() == 0 || load.tokens() <= 0
                ? 0
                : slotMillis * Math.clamp(missing / (double) load.tokens(), 0, 1);
    }
}
