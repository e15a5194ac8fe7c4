package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Calls to one server that survive dead connections. A call without an answer means that its
 * connection is dead or that the server is unreachable, and only a new connection tells which: the
 * call is sent again on one, the others are no longer used, and the call fails only if it fails
 * there too. Hence for calls that may be repeated.
 */
public final class ReconnectingCalls {
    /**
     * Time without an answer after which a connection is doubted; a slow server answers earlier.
     */
    private static final Duration DOUBT_TIME = Duration.ofMillis(400);

    private static final String DOUBT_REASON = "no answer for " + DOUBT_TIME.toMillis() + " ms";

    /** Time within which a long poll fails if its connection never worked. */
    private static final Duration BROKEN_FROM_THE_START = Duration.ofSeconds(1);

    private final Supplier<HttpCalls> mFactory;
    private final InstantSource mClock;
    private final Timers mTimers;
    private final Consumer<String> mOnReplaced;
    private Connections mCurrent;

    /**
     * Creates the calls.
     *
     * @param factory creates a client without connections
     * @param onReplaced is told why connections were replaced
     */
    public ReconnectingCalls(
            Supplier<HttpCalls> factory,
            InstantSource clock,
            Timers timers,
            Consumer<String> onReplaced) {
        mFactory = factory;
        mClock = clock;
        mTimers = timers;
        mOnReplaced = onReplaced;
        mCurrent = new Connections(factory.get());
    }

    /** Sends one attempt of a call. */
    public interface Attempt {
        /** Sends it with the given client and time limit; fails with a {@link CallException}. */
        Uni<HttpAnswer> send(HttpCalls calls, Duration timeout);
    }

    /**
     * Sends a call, and again on a new connection if a connection that has worked before seems
     * dead. Fails with a {@link CallException}, after {@code timeout} at the latest.
     */
    public Uni<HttpAnswer> call(Attempt attempt, Duration timeout) {
        return Uni.createFrom().emitter(e -> new Call(attempt, timeout, e).start());
    }

    /**
     * Sends a call that the server answers when it has something to say. It is sent again whenever
     * its connection fails, unless a new connection fails at once.
     */
    public Uni<HttpAnswer> longPoll(Attempt attempt, Duration timeout) {
        Connections used = mCurrent;
        Instant sentAt = mClock.instant();
        return used.send(attempt, timeout)
                .onFailure(ReconnectingCalls::isConnectionFailure)
                .recoverWithUni(e -> pollAgain(attempt, timeout, used, sentAt, e));
    }

    private Uni<HttpAnswer> pollAgain(
            Attempt attempt, Duration timeout, Connections used, Instant sentAt, Throwable e) {
        boolean worked = used.mAnswered || sentAt.plus(BROKEN_FROM_THE_START).isBefore(now());
        if (used == mCurrent && !worked) {
            return Uni.createFrom().failure(e);
        }
        replace(used, String.valueOf(e.getMessage()));
        return longPoll(attempt, timeout);
    }

    private Instant now() {
        return mClock.instant();
    }

    /**
     * Uses new connections from now on and closes the others, since one of them seems dead; long
     * polls on them are sent again.
     */
    public void reconnect(String reason) {
        Connections old = mCurrent;
        replace(old, reason);
        old.close();
    }

    /** Uses new connections from now on unless others have replaced the given ones already. */
    private void replace(Connections doubted, String reason) {
        if (mCurrent == doubted) {
            mCurrent = new Connections(mFactory.get());
            mOnReplaced.accept(reason);
            doubted.retire();
        }
    }

    /** Returns whether a call failed without an answer of the server. */
    private static boolean isConnectionFailure(Throwable e) {
        return e instanceof CallException c && c.getCause() != null;
    }

    /** Connections that were opened since the last replacement. */
    private static final class Connections {
        private final HttpCalls mCalls;
        private int mInFlight;
        private boolean mAnswered;
        private boolean mRetired;
        private boolean mClosed;

        Connections(HttpCalls calls) {
            mCalls = calls;
        }

        Uni<HttpAnswer> send(Attempt attempt, Duration timeout) {
            mInFlight++;
            return attempt.send(mCalls, timeout)
                    .invoke(a -> mAnswered = true)
                    .onTermination()
                    .invoke(this::onTerminated);
        }

        private void onTerminated() {
            mInFlight--;
            closeIfUnused();
        }

        /** Closes the connections as soon as no call uses them. */
        void retire() {
            mRetired = true;
            closeIfUnused();
        }

        private void closeIfUnused() {
            if (mRetired && mInFlight == 0) {
                close();
            }
        }

        void close() {
            if (!mClosed) {
                mClosed = true;
                mCalls.close();
            }
        }
    }

    /** A call in flight, sent at most twice. */
    private final class Call {
        private final Attempt mAttempt;
        private final UniEmitter<? super HttpAnswer> mResult;
        private final Instant mDeadline;
        private final Connections mFirst = mCurrent;
        private Cancellable mDoubt = () -> {};
        private int mInFlight;
        private boolean mRepeated;
        private boolean mDone;

        Call(Attempt attempt, Duration timeout, UniEmitter<? super HttpAnswer> result) {
            mAttempt = attempt;
            mResult = result;
            mDeadline = now().plus(timeout);
        }

        void start() {
            boolean mayRepeat = mFirst.mAnswered;
            send(mFirst);
            if (mayRepeat && !mDone) {
                mDoubt = mTimers.after(DOUBT_TIME).subscribe().with(v -> repeat(DOUBT_REASON));
            }
        }

        private void send(Connections connections) {
            mInFlight++;
            connections
                    .send(mAttempt, Duration.between(now(), mDeadline))
                    .subscribe()
                    .with(a -> onAnswer(connections, a), e -> onFailure(connections, e));
        }

        private void onAnswer(Connections connections, HttpAnswer answer) {
            if (finish()) {
                if (connections != mFirst) {
                    mFirst.close();
                }
                mResult.complete(answer);
            }
        }

        private void onFailure(Connections connections, Throwable e) {
            mInFlight--;
            boolean mayRepeat = connections == mFirst && mFirst.mAnswered && !mRepeated;
            if (mayRepeat && !mDone && isConnectionFailure(e)) {
                repeat(String.valueOf(e.getMessage()));
            } else if ((mInFlight == 0 || !isConnectionFailure(e)) && finish()) {
                if (mRepeated) {
                    mFirst.close();
                }
                mResult.fail(e);
            }
        }

        private void repeat(String reason) {
            if (!mDone && !mRepeated) {
                mRepeated = true;
                replace(mFirst, reason);
                send(mCurrent);
            }
        }

        /** Returns whether the call wasn't finished before. */
        private boolean finish() {
            mDoubt.cancel();
            boolean first = !mDone;
            mDone = true;
            return first;
        }
    }
}
