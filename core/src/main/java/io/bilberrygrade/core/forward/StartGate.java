package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;

/**
 * Delays the first requests of a daemon that has just started until its configuration is as new as
 * that of its peers. Right after the store was restored from an older copy, the daemon would
 * otherwise serve a configuration from the store that the fleet has already replaced.
 */
public final class StartGate {
    /** Maximum wait for peers; a call to an unreachable peer fails after 400 ms. */
    static final Duration MAX_WAIT = Duration.ofMillis(1_500);

    private final Instant mStartedAt;
    private boolean mAggregatorAsked;
    private long mNewestPeerVersion = Long.MIN_VALUE;

    /** Creates the gate of a daemon that starts at the given time. */
    public StartGate(Instant startedAt) {
        mStartedAt = startedAt;
    }

    /** Records that the aggregator has answered, or that there is no other one. */
    public void recordAggregatorAsked() {
        mAggregatorAsked = true;
    }

    /** Records the configuration version that a peer has in force. */
    public void recordPeerVersion(long version) {
        mNewestPeerVersion = Math.max(mNewestPeerVersion, version);
    }

    /** Returns whether a daemon with the given version in force may serve requests. */
    public boolean isOpen(long inForce, Instant now) {
        return (mAggregatorAsked && inForce >= mNewestPeerVersion)
                || !now.isBefore(mStartedAt.plus(MAX_WAIT));
    }
}
