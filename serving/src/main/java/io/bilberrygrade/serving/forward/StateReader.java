package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Keeps the published state read. A watch brings changes within a moment; a linearizable read of
 * the configuration, by this daemon or a peer, renews the right to honour keys now and then and
 * finds what a watch that has fallen silent would miss.
 */
final class StateReader {
    /**
     * Age of the last confirmation, by whomever, at which this daemon reads at the latest; the
     * keys' bound of some seconds leaves room for a second try.
     */
    private static final Duration CONFIRM_PERIOD = Duration.ofMillis(2_800);

    /** Part of that age at which the aggregator reads, whose confirmation reaches all others. */
    private static final double AGGREGATORS_PART = 0.4;

    /** Least part of that age at which others read, so that those cut off don't read in step. */
    private static final double LEAST_PART = 0.75;

    /** Least pause between two looks at the age. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(50);

    /** Time for which changes are gathered before the next watch, since each costs a call. */
    private static final Duration WATCH_GATHER = Duration.ofMillis(120);

    /** Wait of one watch; each costs a call, and confirmations tell a watch that hears nothing. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(15);

    /** Time in which a watch tells of a change that a confirmation has seen. */
    private static final Duration WATCH_LAG = Duration.ofMillis(400);

    private static final Duration FIRST_RETRY = Duration.ofMillis(150);
    private static final Duration MAX_RETRY = Duration.ofSeconds(1);
    private static final double JITTER = 0.3;

    private final PublishedState mStore;
    private final StateController mState;
    private final Clocks mClocks;
    private final Timers mTimers;
    private final UniformRandomProvider mRandom;
    private final BooleanSupplier mAggregator;
    private Duration mConfirmRetry = FIRST_RETRY;
    private Duration mWatchRetry = FIRST_RETRY;
    private long mWatch;
    private boolean mWatching;
    private long mWatchedRevision;
    private boolean mConfirming;
    private boolean mClosed;

    StateReader(
            PublishedState store,
            StateController state,
            Clocks clocks,
            Timers timers,
            UniformRandomProvider random,
            BooleanSupplier aggregator) {
        mStore = store;
        mState = state;
        mClocks = clocks;
        mTimers = timers;
        mRandom = random;
        mAggregator = aggregator;
    }

    void start() {
        confirmAndRepeat();
        readEndpoints();
    }

    void close() {
        mClosed = true;
    }

    /** Reads the configuration now, unless it is being read. */
    void confirmNow() {
        if (!mConfirming && !mClosed) {
            confirm().subscribe().with(v -> {}, e -> {});
        }
    }

    private void confirmAndRepeat() {
        if (mClosed) {
            return;
        }
        confirm()
                .subscribe()
                .with(
                        v -> {
                            mConfirmRetry = FIRST_RETRY;
                            confirmOnceDue(nextAge());
                        },
                        e -> {
                            later(mConfirmRetry, this::confirmAndRepeat);
                            mConfirmRetry = doubled(mConfirmRetry);
                        });
    }

    private Duration nextAge() {
        double part =
                mAggregator.getAsBoolean()
                        ? AGGREGATORS_PART
                        : LEAST_PART + (1 - LEAST_PART) * mRandom.nextDouble();
        return Duration.ofMillis(Math.round(CONFIRM_PERIOD.toMillis() * part));
    }

    /** Reads once the last confirmation is of the given age, unless peers keep it younger. */
    private void confirmOnceDue(Duration age) {
        Duration left = age.minus(mState.confirmedAgo().orElse(age));
        if (left.isNegative() || left.isZero()) {
            confirmAndRepeat();
        } else {
            Duration pause = left.compareTo(LEAST_PAUSE) < 0 ? LEAST_PAUSE : left;
            mTimers.after(pause).subscribe().with(v -> confirmOnceDue(age));
        }
    }

    private Uni<Void> confirm() {
        ClockReading sentAt = mClocks.read();
        mConfirming = true;
        return mStore.config(mState.revision())
                .onTermination()
                .invoke(() -> mConfirming = false)
                .invoke(r -> mState.confirmed(r, sentAt))
                .invoke(r -> checkWatch(r.storeRevision()))
                .onFailure()
                .invoke(e -> mState.lost("configuration", e.getMessage()))
                .replaceWithVoid();
    }

    /** Starts the watch anew if it doesn't tell of a change; its connection may be silent. */
    void checkWatch(long storeRevision) {
        long watch = mWatch;
        if (mWatching && mWatchedRevision < storeRevision) {
            later(
                    WATCH_LAG,
                    () -> {
                        if (mWatch == watch && mWatching && mWatchedRevision < storeRevision) {
                            readEndpoints();
                        }
                    });
        }
    }

    private void readEndpoints() {
        if (mClosed) {
            return;
        }
        mWatching = false;
        mStore.endpoints()
                .subscribe()
                .with(
                        r -> {
                            mState.endpointsRead(r);
                            mWatchRetry = FIRST_RETRY;
                            watch(r.revision());
                        },
                        e -> retryEndpoints("endpoints", e));
    }

    private void watch(long revision) {
        if (mClosed) {
            return;
        }
        long watch = ++mWatch;
        mWatching = true;
        mWatchedRevision = revision;
        mStore.watch(revision, WATCH_WAIT)
                .subscribe()
                .with(
                        c -> {
                            if (mWatch != watch || !mWatching) {
                                return;
                            }
                            mState.changed(c.changes());
                            if (c.historyLost()) {
                                confirmNow();
                                readEndpoints();
                            } else {
                                watchAfterGathering(watch, c.revision());
                            }
                        },
                        e -> {
                            if (mWatch == watch && mWatching) {
                                confirmNow();
                                retryEndpoints("watch", e);
                            }
                        });
    }

    private void watchAfterGathering(long watch, long revision) {
        mWatchedRevision = revision;
        mTimers.after(WATCH_GATHER)
                .subscribe()
                .with(
                        v -> {
                            if (mWatch == watch && mWatching) {
                                watch(revision);
                            }
                        });
    }

    private void retryEndpoints(String call, Throwable e) {
        mState.lost(call, e.getMessage());
        later(mWatchRetry, this::readEndpoints);
        mWatchRetry = doubled(mWatchRetry);
    }

    private void later(Duration delay, Runnable action) {
        double factor = 1 - JITTER * mRandom.nextDouble();
        mTimers.after(Duration.ofMillis(Math.round(delay.toMillis() * factor)))
                .subscribe()
                .with(v -> action.run());
    }

    private static Duration doubled(Duration delay) {
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(MAX_RETRY) > 0 ? MAX_RETRY : twice;
    }
}
