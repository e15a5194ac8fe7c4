package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Keeps the published state current. A watch returns changes at once; a periodic linearizable read
 * of the configuration, by this daemon or a peer, renews the lease on honouring keys, and detects
 * changes that a watch with a dead connection would miss.
 */
final class StateReader {
    /** Least pause between two checks of the age. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(50);

    /** Time for which changes are batched before the next watch, since each watch costs a call. */
    private static final Duration WATCH_BATCH_DELAY = Duration.ofMillis(120);

    /**
     * Long-poll time of one watch; each costs a call, and confirmations reveal a watch with a dead
     * connection.
     */
    private static final Duration WATCH_POLL_TIMEOUT = Duration.ofSeconds(15);

    /** Time within which a watch returns a change that a confirmation has seen. */
    private static final Duration WATCH_LAG = Duration.ofMillis(400);

    /** Time without a relayed answer after which this daemon watches the store itself. */
    private static final Duration RELAY_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration INITIAL_RETRY = Duration.ofMillis(150);
    private static final Duration MAX_RETRY = Duration.ofSeconds(1);

    /**
     * Longest pause of a daemon that is not the aggregator, which learns from the aggregator when
     * the store answers again.
     */
    private static final Duration MAX_FOLLOWER_RETRY = Duration.ofMillis(2_500);

    private static final double JITTER = 0.3;

    private final PublishedState mStore;
    private final StateController mState;
    private final Clocks mClocks;
    private final Timers mTimers;
    private final UniformRandomProvider mRandom;
    private final BooleanSupplier mIsAggregator;
    private final ConfirmationAge mConfirmationAge;
    private final ChangeHistory mHistory = new ChangeHistory();
    private Duration mConfirmRetry = INITIAL_RETRY;
    private Duration mWatchRetry = INITIAL_RETRY;
    private long mWatchId;
    private Cancellable mWatchCall = () -> {};
    private boolean mWatchRestarted;
    private boolean mWatching;
    private boolean mReading;
    private Instant mLastRelayAt = Instant.MIN;
    private boolean mConfirming;
    private boolean mConfirmFailed;
    private boolean mConfirmRetryScheduled;
    private boolean mResumePeriodicConfirm;
    private boolean mEndpointsReadPending;
    private boolean mClosed;

    StateReader(
            PublishedState store,
            StateController state,
            Clocks clocks,
            Timers timers,
            UniformRandomProvider random,
            BooleanSupplier isAggregator) {
        mStore = store;
        mState = state;
        mClocks = clocks;
        mTimers = timers;
        mRandom = random;
        mIsAggregator = isAggregator;
        mConfirmationAge = new ConfirmationAge(random, isAggregator);
    }

    void start() {
        confirmAndRepeat();
        readEndpoints();
    }

    void close() {
        mClosed = true;
    }

    /**
     * Reads the configuration now, unless a read is in flight. A failed read is retried until the
     * store answers, even while peers confirm the version in force, since the read of the endpoints
     * may wait for it.
     */
    void confirmNow() {
        if (!mConfirming && !mClosed) {
            confirm().subscribe().with(v -> {}, e -> retryConfirm(false));
        }
    }

    /** Schedules a retry with exponential backoff; at most one is pending. */
    private void retryConfirm(boolean resumePeriodic) {
        mResumePeriodicConfirm |= resumePeriodic;
        if (mConfirmRetryScheduled) {
            return;
        }
        mConfirmRetryScheduled = true;
        schedule(mConfirmRetry, this::confirmAgain);
        Duration max = mIsAggregator.getAsBoolean() ? MAX_RETRY : MAX_FOLLOWER_RETRY;
        mConfirmRetry = doubledUpTo(mConfirmRetry, max);
    }

    private void confirmAgain() {
        mConfirmRetryScheduled = false;
        if (mResumePeriodicConfirm) {
            mResumePeriodicConfirm = false;
            confirmAndRepeat();
        } else if (mConfirmFailed) {
            confirmNow();
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
                            mConfirmRetry = INITIAL_RETRY;
                            confirmWhenDue(mConfirmationAge.next());
                        },
                        e -> retryConfirm(true));
    }

    /**
     * Reads once the last confirmation has reached the given age; confirmations by peers postpone
     * it.
     */
    private void confirmWhenDue(Duration age) {
        if (mState.confirmationAge().isEmpty()) {
            schedule(INITIAL_RETRY, this::confirmAndRepeat);
            return;
        }
        Duration left = age.minus(mState.confirmationAge().get());
        if (left.isNegative() || left.isZero()) {
            confirmAndRepeat();
        } else {
            Duration pause = left.compareTo(MIN_PAUSE) < 0 ? MIN_PAUSE : left;
            mTimers.after(pause).subscribe().with(v -> confirmWhenDue(age));
        }
    }

    private Uni<Void> confirm() {
        ClockReading sentAt = mClocks.read();
        mConfirming = true;
        return mStore.config(mState.configPosition())
                .onTermination()
                .invoke(() -> mConfirming = false)
                .onItem()
                .transformToUni(r -> requireCurrentEra(r, r.store(), Step.CONFIGURATION))
                .invoke(r -> mState.onConfirmed(r, sentAt))
                .invoke(r -> onStoreReached())
                .invoke(r -> checkWatch(r.store()))
                .onFailure()
                .invoke(
                        e -> {
                            mConfirmFailed = true;
                            mState.onStoreFailure("configuration", e.getMessage());
                        })
                .replaceWithVoid();
    }

    /** Fails if the answer is of an earlier era of the store. */
    private <T> Uni<T> requireCurrentEra(T answer, StorePosition store, Step step) {
        return mState.observeEra(store)
                ? Uni.createFrom().item(answer)
                : Uni.createFrom()
                        .failure(
                                new CallException(
                                        step,
                                        "store",
                                        Delivery.MAY_HAVE_RUN,
                                        "answer from store era %d, which has ended"
                                                .formatted(store.era())));
    }

    /** Starts the read of the endpoints that was waiting for the store. */
    private void onStoreReached() {
        mConfirmFailed = false;
        if (mEndpointsReadPending) {
            mEndpointsReadPending = false;
            readEndpoints();
        }
    }

    /**
     * Restarts the watch on a new connection if it doesn't return a known change, since its
     * connection may be dead, and reads all endpoints if that doesn't help. Reads them at once if
     * the store has begun a new era, which the watch can't report.
     */
    void checkWatch(StorePosition store) {
        if (mHistory.position().era() < store.era() && canReadEndpoints()) {
            readEndpoints();
            return;
        }
        long watch = mWatchId;
        if (mWatching && mHistory.position().isBefore(store)) {
            schedule(
                    WATCH_LAG,
                    () -> {
                        if (mWatchId == watch && mWatching && mHistory.position().isBefore(store)) {
                            restartWatch();
                        }
                    });
        }
    }

    private void restartWatch() {
        if (mWatchRestarted) {
            readEndpoints();
            return;
        }
        mWatchRestarted = true;
        mWatchCall.cancel();
        mStore.reconnect();
        watch(mHistory.position().revision());
    }

    /** Reads all endpoints again, unless a read is in flight or will be repeated anyway. */
    void readAgain() {
        if (canReadEndpoints() && (mWatching || isRelayed())) {
            readEndpoints();
        }
    }

    private boolean canReadEndpoints() {
        return mState.endpoints().isLoaded() && !mReading;
    }

    private void readEndpoints() {
        if (mClosed) {
            return;
        }
        mWatching = false;
        mReading = true;
        mStore.endpoints()
                .onItem()
                .transformToUni(r -> requireCurrentEra(r, r.store(), Step.MEMBERSHIP))
                .subscribe()
                .with(
                        r -> {
                            mReading = false;
                            mHistory.recordFullRead(
                                    r.store(), mState.onEndpointsRead(r), mClocks.now());
                            mWatchRestarted = false;
                            mWatchRetry = INITIAL_RETRY;
                            watchUnlessRelayed();
                        },
                        e -> {
                            mReading = false;
                            retryEndpoints("endpoints", e);
                        });
    }

    /** Watches the store, unless a peer relays its changes. */
    private void watchUnlessRelayed() {
        if (mClosed || mWatching || mReading) {
            return;
        }
        if (isRelayed()) {
            mTimers.after(RELAY_TIMEOUT.dividedBy(2)).subscribe().with(v -> watchUnlessRelayed());
        } else {
            watch(mHistory.position().revision());
        }
    }

    private boolean isRelayed() {
        return mLastRelayAt.plus(RELAY_TIMEOUT).isAfter(mClocks.now());
    }

    /** Returns whether this daemon watches the store itself, so that it can relay changes. */
    boolean isWatching() {
        return mWatching && !isRelayed();
    }

    /** Returns the recent changes. */
    ChangeHistory history() {
        return mHistory;
    }

    /**
     * Applies changes that a peer has seen after those in the history.
     *
     * @param replacesWatch whether this daemon needs no watch of its own as long as the peer relays
     */
    void applyRelayed(
            StorePosition position,
            ImmutableList<PublishedState.Change> changes,
            boolean replacesWatch) {
        if (mReading
                || !position.sameEra(mHistory.position())
                || position.isBefore(mHistory.position())) {
            return;
        }
        if (replacesWatch) {
            mLastRelayAt = mClocks.now();
        }
        mState.onRelayedChanges(changes);
        mHistory.add(position, changes);
    }

    private void watch(long revision) {
        long watch = ++mWatchId;
        mWatching = true;
        mWatchCall =
                mStore.watch(revision, WATCH_POLL_TIMEOUT)
                        .onItem()
                        .transformToUni(c -> requireCurrentEra(c, c.store(), Step.MEMBERSHIP))
                        .subscribe()
                        .with(
                                c -> {
                                    if (mWatchId == watch && mWatching) {
                                        mWatchRestarted = false;
                                        onWatchAnswer(watch, c);
                                    }
                                },
                                e -> {
                                    if (mWatchId == watch && mWatching) {
                                        confirmNow();
                                        retryEndpoints("watch", e);
                                    }
                                });
    }

    private void onWatchAnswer(long watch, PublishedState.Changes changes) {
        if (changes.historyLost() || !changes.store().sameEra(mHistory.position())) {
            mState.onChanges(ImmutableList.of());
            confirmNow();
            readEndpoints();
            return;
        }
        mState.onUnreadable(changes.unreadable());
        // A peer may have relayed later changes meanwhile; these would undo them.
        boolean later = !changes.store().isBefore(mHistory.position());
        mState.onChanges(later ? changes.changes() : ImmutableList.of());
        mHistory.add(changes.store(), changes.changes());
        mTimers.after(WATCH_BATCH_DELAY)
                .subscribe()
                .with(
                        v -> {
                            if (mWatchId == watch && mWatching) {
                                mWatching = false;
                                watchUnlessRelayed();
                            }
                        });
    }

    private void retryEndpoints(String call, Throwable e) {
        mState.onStoreFailure(call, e.getMessage());
        schedule(mWatchRetry, this::readEndpointsWhenReachable);
        mWatchRetry = doubledUpTo(mWatchRetry, MAX_RETRY);
    }

    /**
     * Reads the endpoints, or leaves it to the retries of the configuration read to find out when
     * the store answers again.
     */
    private void readEndpointsWhenReachable() {
        if (mConfirmFailed) {
            mEndpointsReadPending = true;
        } else {
            readEndpoints();
        }
    }

    private void schedule(Duration delay, Runnable action) {
        double factor = 1 - JITTER * mRandom.nextDouble();
        mTimers.after(Duration.ofMillis(Math.round(delay.toMillis() * factor)))
                .subscribe()
                .with(v -> action.run());
    }

    private static Duration doubledUpTo(Duration delay, Duration max) {
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(max) > 0 ? max : twice;
    }
}
