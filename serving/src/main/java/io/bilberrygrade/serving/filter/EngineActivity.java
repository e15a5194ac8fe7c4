package io.bilberrygrade.serving.filter;

import java.time.Duration;
import java.time.Instant;

/** Signs of life of one attempt's engine. Time spent waiting for the caller isn't silence. */
final class Heartbeat {
    private Instant mLast;
    private boolean mDecoding;
    private boolean mWaitingForCaller;
    private int mFailedProbes;

    Heartbeat(Instant now) {
        mLast = now;
    }

    /** Notes something heard from the engine. */
    void heard(Instant now) {
        mLast = now;
        mWaitingForCaller = false;
    }

    /** Notes a token, after which the next one is due soon. */
    void token(Instant now) {
        heard(now);
        mDecoding = true;
    }

    /** Notes that nothing more is read from the engine until the caller has room. */
    void waitForCaller() {
        mWaitingForCaller = true;
    }

    /** Returns how long nothing was heard. */
    Duration silence(Instant now) {
        return mWaitingForCaller ? Duration.ZERO : Duration.between(mLast, now);
    }

    /** Returns whether the first token has come. */
    boolean decoding() {
        return mDecoding;
    }

    /** Counts a probe and returns the number of those that failed in a row. */
    int probed(boolean answered) {
        mFailedProbes = answered ? 0 : mFailedProbes + 1;
        return mFailedProbes;
    }
}
