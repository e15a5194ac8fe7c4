package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
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

    /** Time after which a peer that hands changes on is taken for gone, so that we watch. */
    private static final Duration RELAY_TIME = Duration.ofSeconds(1);

    private static final Duration FIRST_RETRY = Duration.ofMillis(150);
    private static final Duration MAX_RETRY = Duration.ofSeconds(1);

    /** Longest pause of a daemon that hears by the aggregator when the store answers again. */
    private static final Duration MAX_FOLLOWERS_RETRY = Duration.ofMillis(2_500);

    private static final double JITTER = 0.3;

    private final PublishedState mStore;
    private final StateController mState;
    private final Clocks mClocks;
    private final Timers mTimers;
    private final UniformRandomProvider mRandom;
    private final BooleanSupplier mAggregator;
    private final ChangeHistory mHistory = new ChangeHistory();
    private Duration mConfirmRetry = FIRST_RETRY;
    private Duration mWatchRetry = FIRST_RETRY;
    private long mWatch;
    private boolean mWatching;
    private boolean mReading;
    private Instant mRelayedAt = Instant.MIN;
    private boolean mConfirming;
    private boolean mConfirmFailed;
    private boolean mConfirmRetryWaits;
    private boolean mRepeatStopped;
    private boolean mEndpointsWait;
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

    /**
     * Reads the configuration now, unless it is being read. A failure is followed by tries until
     * the store answers, also while peers confirm what this daemon has: endpoints may wait for it.
     */
    void confirmNow() {
        if (!mConfirming && !mClosed) {
            confirm().subscribe().with(v -> {}, e -> retryConfirm(false));
        }
    }

    /** Tries again after a pause that grows; one try waits at a time, whoever asked for it. */
    private void retryConfirm(boolean repeat) {
        mRepeatStopped |= repeat;
        if (mConfirmRetryWaits) {
            return;
        }
        mConfirmRetryWaits = true;
        later(mConfirmRetry, this::confirmAgain);
        Duration most = mAggregator.getAsBoolean() ? MAX_RETRY : MAX_FOLLOWERS_RETRY;
        mConfirmRetry = doubled(mConfirmRetry, most);
    }

    private void confirmAgain() {
        mConfirmRetryWaits = false;
        if (mRepeatStopped) {
            mRepeatStopped = false;
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
                            mConfirmRetry = FIRST_RETRY;
                            confirmOnceDue(nextAge());
                        },
                        e -> retryConfirm(true));
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
        if (mState.confirmedAgo().isEmpty()) {
            later(FIRST_RETRY, this::confirmAndRepeat);
            return;
        }
        Duration left = age.minus(mState.confirmedAgo().get());
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
        return mStore.config(mState.configAt())
                .onTermination()
                .invoke(() -> mConfirming = false)
                .onItem()
                .transformToUni(r -> current(r, r.store(), Step.CONFIGURATION))
                .invoke(r -> mState.confirmed(r, sentAt))
                .invoke(r -> reached())
                .invoke(r -> checkWatch(r.store()))
                .onFailure()
                .invoke(
                        e -> {
                            mConfirmFailed = true;
                            mState.lost("configuration", e.getMessage());
                        })
                .replaceWithVoid();
    }

    /** Fails an answer of an era of the store that has ended. */
    private <T> Uni<T> current(T answer, StorePosition store, Step step) {
        return mState.counts(store)
                ? Uni.createFrom().item(answer)
                : Uni.createFrom()
                        .failure(
                                new CallException(
                                        step,
                                        "store",
                                        Delivery.MAY_HAVE_RUN,
                                        "an answer of era %d, which has ended"
                                                .formatted(store.era())));
    }

    /** Goes on with what waited for the store. */
    private void reached() {
        mConfirmFailed = false;
        if (mEndpointsWait) {
            mEndpointsWait = false;
            readEndpoints();
        }
    }

    /**
     * Starts the watch anew if it doesn't tell of a change, since its connection may be silent; at
     * once if the store has begun a new era, of which the watch can't tell.
     */
    void checkWatch(StorePosition store) {
        if (mHistory.position().era() < store.era() && known()) {
            readEndpoints();
            return;
        }
        long watch = mWatch;
        if (mWatching && mHistory.position().isBefore(store)) {
            later(
                    WATCH_LAG,
                    () -> {
                        if (mWatch == watch && mWatching && mHistory.position().isBefore(store)) {
                            readEndpoints();
                        }
                    });
        }
    }

    private boolean known() {
        return mState.endpoints().known() && !mReading;
    }

    private void readEndpoints() {
        if (mClosed) {
            return;
        }
        mWatching = false;
        mReading = true;
        mStore.endpoints()
                .onItem()
                .transformToUni(r -> current(r, r.store(), Step.MEMBERSHIP))
                .subscribe()
                .with(
                        r -> {
                            mReading = false;
                            mState.endpointsRead(r);
                            mHistory.readWhole(r.store());
                            mWatchRetry = FIRST_RETRY;
                            watchUnlessRelayed();
                        },
                        e -> {
                            mReading = false;
                            retryEndpoints("endpoints", e);
                        });
    }

    /** Leaves the watch to the peer that hands changes on, as long as it does. */
    private void watchUnlessRelayed() {
        if (mClosed || mWatching || mReading) {
            return;
        }
        if (relays()) {
            mTimers.after(RELAY_TIME.dividedBy(2)).subscribe().with(v -> watchUnlessRelayed());
        } else {
            watch(mHistory.position().revision());
        }
    }

    private boolean relays() {
        return mRelayedAt.plus(RELAY_TIME).isAfter(mClocks.now());
    }

    /** Returns whether this daemon sees changes itself, so that peers may rely on it. */
    boolean watches() {
        return mWatching && !relays();
    }

    /** Returns the changes that were seen lately. */
    ChangeHistory history() {
        return mHistory;
    }

    /** Takes over changes that a peer has seen after those in the history. */
    void relayed(StorePosition position, ImmutableList<PublishedState.Change> changes) {
        if (mReading
                || !position.sameEra(mHistory.position())
                || position.isBefore(mHistory.position())) {
            return;
        }
        mRelayedAt = mClocks.now();
        mState.relayed(changes);
        mHistory.add(position, changes);
    }

    private void watch(long revision) {
        long watch = ++mWatch;
        mWatching = true;
        mStore.watch(revision, WATCH_WAIT)
                .onItem()
                .transformToUni(c -> current(c, c.store(), Step.MEMBERSHIP))
                .subscribe()
                .with(
                        c -> {
                            if (mWatch == watch && mWatching) {
                                watched(watch, c);
                            }
                        },
                        e -> {
                            if (mWatch == watch && mWatching) {
                                confirmNow();
                                retryEndpoints("watch", e);
                            }
                        });
    }

    private void watched(long watch, PublishedState.Changes changes) {
        if (changes.historyLost() || !changes.store().sameEra(mHistory.position())) {
            mState.changed(ImmutableList.of());
            confirmNow();
            readEndpoints();
            return;
        }
        // A peer may have handed on later changes meanwhile; these would undo them.
        boolean later = !changes.store().isBefore(mHistory.position());
        mState.changed(later ? changes.changes() : ImmutableList.of());
        mHistory.add(changes.store(), changes.changes());
        mTimers.after(WATCH_GATHER)
                .subscribe()
                .with(
                        v -> {
                            if (mWatch == watch && mWatching) {
                                mWatching = false;
                                watchUnlessRelayed();
                            }
                        });
    }

    private void retryEndpoints(String call, Throwable e) {
        mState.lost(call, e.getMessage());
        later(mWatchRetry, this::readEndpointsOnceReached);
        mWatchRetry = doubled(mWatchRetry, MAX_RETRY);
    }

    /** Leaves it to the configuration's reading to find out when the store answers again. */
    private void readEndpointsOnceReached() {
        if (mConfirmFailed) {
            mEndpointsWait = true;
        } else {
            readEndpoints();
        }
    }

    private void later(Duration delay, Runnable action) {
        double factor = 1 - JITTER * mRandom.nextDouble();
        mTimers.after(Duration.ofMillis(Math.round(delay.toMillis() * factor)))
                .subscribe()
                .with(v -> action.run());
    }

    private static Duration doubled(Duration delay, Duration most) {
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(most) > 0 ? most : twice;
    }
}
