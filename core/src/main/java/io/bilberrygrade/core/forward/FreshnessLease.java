package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Lease for accepting keys, which expires a bounded time after the configuration was last
 * confirmed. It keeps a daemon that is cut off from the store from accepting revoked keys.
 */
public final class FreshnessLease {
    /** Allowance for a request's transit from the caller and for timers that fire late. */
    private static final Duration MARGIN = Duration.ofMillis(300);

    /**
     * Maximum drift between the two clocks of a machine; a larger one means that the time of day
     * was stepped or the machine was suspended.
     */
    private static final Duration MAX_DRIFT = Duration.ofMillis(250);

    private Duration mBound;
    private Optional<ClockReading> mConfirmedAt = Optional.empty();

    /**
     * Creates a lease that isn't valid until it is renewed; {@code bound} is the maximum staleness
     * of keys.
     */
    public FreshnessLease(Duration bound) {
        mBound = bound;
    }

    /**
     * Changes the maximum staleness of keys, also for the confirmation that is already recorded.
     */
    public void setBound(Duration bound) {
        mBound = bound;
    }

    /**
     * Renews the lease after a linearizable read, sent at the given time by this daemon or a peer,
     * returned the configuration in force. A read that was sent before the last recorded one is
     * ignored.
     */
    public void confirm(ClockReading sentAt) {
        boolean older =
                mConfirmedAt
                        .filter(c -> sentAt.drift(c).compareTo(MAX_DRIFT) <= 0)
                        .filter(c -> sentAt.since(c).isNegative())
                        .isPresent();
        if (!older) {
            mConfirmedAt = Optional.of(sentAt);
        }
    }

    /** Returns whether keys may be accepted now. */
    public boolean isHeld(ClockReading now) {
        return mConfirmedAt
                .filter(c -> now.drift(c).compareTo(MAX_DRIFT) <= 0)
                .filter(c -> now.since(c).compareTo(mBound.minus(MARGIN)) < 0)
                .isPresent();
    }

    /**
     * Returns the time since the last confirmation; empty if there is none or the clocks have
     * drifted apart since.
     */
    public Optional<Duration> age(ClockReading now) {
        return mConfirmedAt.filter(c -> now.drift(c).compareTo(MAX_DRIFT) <= 0).map(now::since);
    }
}
