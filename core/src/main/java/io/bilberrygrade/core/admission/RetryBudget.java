package io.bilberrygrade.core.admission;

/**
 * Bounds attempts after the first to a part of the successes, so that retries can't amplify an
 * outage. A reserve lets the work of a failed engine move to others at once.
 */
public final class RetryBudget {
    private static final int SUCCESSES_PER_RETRY = 5;
    private static final int MAX_RETRIES = 100;

    private int mSuccesses = MAX_RETRIES * SUCCESSES_PER_RETRY;

    /** Creates a budget with a full reserve. */
    public RetryBudget() {}

    /** Adds to the budget after a request was answered. */
    public void succeeded() {
        mSuccesses = Math.min(MAX_RETRIES * SUCCESSES_PER_RETRY, mSuccesses + 1);
    }

    /** Takes one retry out of the budget; returns whether there was one. */
    public boolean tryRetry() {
        if (mSuccesses < SUCCESSES_PER_RETRY) {
            return false;
        }
        mSuccesses -= SUCCESSES_PER_RETRY;
        return true;
    }
}
