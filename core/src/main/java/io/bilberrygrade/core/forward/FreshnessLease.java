package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Right to honour keys, which lasts for a bound after the configuration was confirmed. Without it a
 * daemon that is cut off from the store would go on honouring keys that were taken away.
 */
public final class FreshnessLease {
    /** Time for a request to travel from the caller, and for timers that fire late. */
    private static final Duration MARGIN = Duration.ofMillis(300);

    /** Clocks of one machine that disagree by more have been stepped, or the machine was asleep. */
    private static final Duration MAX_DRIFT = Duration.ofMillis(250);

    private Duration mBound;
    private Optional<ClockReading> mConfirmedAt = Optional.empty();

    /**
     * Creates a lease that isn't held; {@code bound} is the longest time that keys may be stale.
     */
    public FreshnessLease(Duration bound) {
        mBound = bound;
    }

    /** Changes the longest time that keys may be stale, also for what was confirmed already. */
    public void setBound(Duration bound) {
        mBound = bound;
    }

    /**
     * States that a linearizable read that was sent at the given time, by this daemon or by a peer,
     * found the configuration. One that is older than what is known changes nothing.
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

    /** Returns whether keys may be honoured now. */
    public boolean held(ClockReading now) {
        return mConfirmedAt
                .filter(c -> now.drift(c).compareTo(MAX_DRIFT) <= 0)
                .filter(c -> now.since(c).compareTo(mBound.minus(MARGIN)) < 0)
                .isPresent();
    }

    /** Returns the time since the last confirmation, or empty if there is none to rely on. */
    public Optional<Duration> age(ClockReading now) {
        return mConfirmedAt.filter(c -> now.drift(c).compareTo(MAX_DRIFT) <= 0).map(now::since);
    }
}
