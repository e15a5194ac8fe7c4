package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Holds a daemon that has just started back from its first callers until it knows what its peers
 * know. Right after the store came back from an older copy, the store alone would have it serve a
 * configuration that the fleet has left behind.
 */
public final class StartGate {
    /** Longest wait for peers; a call to one that can't be reached fails after 400 ms. */
    static final Duration MOST = Duration.ofMillis(1_500);

    private final Instant mStartedAt;
    private boolean mAsked;
    private long mSaid = Long.MIN_VALUE;

    /** Creates the gate of a daemon that starts now. */
    public StartGate(Instant startedAt) {
        mStartedAt = startedAt;
    }

    /** States that the daemon that sums up for the fleet was asked, or that there is none. */
    public void asked() {
        mAsked = true;
    }

    /** Takes note of the version that a peer has in force. */
    public void said(long version) {
        mSaid = Math.max(mSaid, version);
    }

    /** Returns whether a daemon with the given version in force may serve. */
    public boolean open(long inForce, Instant now) {
        return (mAsked && inForce >= mSaid) || !now.isBefore(mStartedAt.plus(MOST));
    }
}
