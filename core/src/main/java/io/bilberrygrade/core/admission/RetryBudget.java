package io.bilberrygrade.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;

/**
 * Bounds the attempts after the first to a part of the requests in every window of time, so that
 * retries can't amplify an outage. Each daemon keeps to the ratio for the requests that it took
 * itself and to its part of the slack, so that the fleet keeps to the whole without talk. The slack
 * lets the work of a failed engine move to others at once.
 */
public final class RetryBudget {
    private final double mRatio;
    private final IntSupplier mSlack;
    private final Duration mWindow;
    private final Deque<Instant> mRequests = new ArrayDeque<>();
    private final Deque<Instant> mRetries = new ArrayDeque<>();

    /** Creates a budget with this daemon's part of the slack, which shrinks as peers are found. */
    public RetryBudget(double ratio, IntSupplier slack, Duration window) {
        mRatio = ratio;
        mSlack = slack;
        mWindow = window;
    }

    /** Counts a request. */
    public void requested(Instant now) {
        expire(now);
        mRequests.addLast(now);
    }

    /** Takes one retry out of the budget; returns whether there was one. */
    public boolean tryRetry(Instant now) {
        if (!mayRetry(now)) {
            return false;
        }
        mRetries.addLast(now);
        return true;
    }

    /** Returns whether there is a retry left. */
    public boolean mayRetry(Instant now) {
        expire(now);
        return mRetries.size() + 1 <= mRatio * mRequests.size() + mSlack.getAsInt();
    }

    private void expire(Instant now) {
        Instant start = now.minus(mWindow);
        while (!mRequests.isEmpty() && mRequests.getFirst().isBefore(start)) {
            mRequests.removeFirst();
        }
        while (!mRetries.isEmpty() && mRetries.getFirst().isBefore(start)) {
            mRetries.removeFirst();
        }
    }
}
