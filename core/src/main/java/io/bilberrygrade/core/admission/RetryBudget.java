package io.bilberrygrade.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits retries to a fraction of the requests in a sliding window plus a slack, so that retries
 * can't amplify an outage. Each daemon applies the ratio to the requests that it received itself
 * and uses its part of the slack, so that the fleet keeps the overall limit without coordination.
 * The slack lets the work of a failed engine move to other engines at once.
 */
public final class RetryBudget {
    private final double mRatio;
    private final DoubleSupplier mSlack;
    private final Duration mWindow;
    private final Deque<Instant> mRequests = new ArrayDeque<>();
    private final Deque<Instant> mRetries = new ArrayDeque<>();

    /**
     * Creates a budget; {@code slack} supplies this daemon's part of the fleet's slack, which
     * shrinks as peers are found.
     */
    public RetryBudget(double ratio, DoubleSupplier slack, Duration window) {
        mRatio = ratio;
        mSlack = slack;
        mWindow = window;
    }

    /** Records a request. */
    public void recordRequest(Instant now) {
        removeExpired(now);
        mRequests.addLast(now);
    }

    /** Takes one retry out of the budget; returns whether one was available. */
    public boolean tryRetry(Instant now) {
        if (!mayRetry(now)) {
            return false;
        }
        mRetries.addLast(now);
        return true;
    }

    private boolean mayRetry(Instant now) {
        removeExpired(now);
        return mRetries.size() + 1 <= mRatio * mRequests.size() + mSlack.getAsDouble();
    }

    private void removeExpired(Instant now) {
        Instant start = now.minus(mWindow);
        while (!mRequests.isEmpty() && mRequests.getFirst().isBefore(start)) {
            mRequests.removeFirst();
        }
        while (!mRetries.isEmpty() && mRetries.getFirst().isBefore(start)) {
            mRetries.removeFirst();
        }
    }
}
