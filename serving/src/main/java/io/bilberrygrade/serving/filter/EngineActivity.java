package io.bilberrygrade.serving.filter;

import java.time.Duration;
import java.time.Instant;

/**
 * Tracks when the engine of an attempt was last active. Time spent waiting for the caller doesn't
 * count as idle.
 */
final class EngineActivity {
    private Instant mLastActivity;
    private boolean mDecoding;
    private boolean mWaitingForCaller;
    private int mFailedProbes;

    EngineActivity(Instant now) {
        mLastActivity = now;
    }

    /** Records any event from the engine. */
    void recordActivity(Instant now) {
        mLastActivity = now;
        mWaitingForCaller = false;
    }

    /** Records a token, after which the next one is due soon. */
    void recordToken(Instant now) {
        recordActivity(now);
        mDecoding = true;
    }

    /** Records that reading from the engine pauses until the caller can accept more. */
    void startWaitingForCaller() {
        mWaitingForCaller = true;
    }

    /** Returns the time since the last activity; zero while waiting for the caller. */
    Duration idleTime(Instant now) {
        return mWaitingForCaller ? Duration.ZERO : Duration.between(mLastActivity, now);
    }

    /** Returns whether the first token has arrived. */
    boolean isDecoding() {
        return mDecoding;
    }

    /** Records a probe and returns the number of consecutive failed ones. */
    int recordProbe(boolean answered) {
        mFailedProbes = answered ? 0 : mFailedProbes + 1;
        return mFailedProbes;
    }
}
