package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.AnswerSink;
import io.bilberrygrade.serving.service.ServiceAnswer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Caller of one request. */
final class SimulatedCaller implements AnswerSink {
    private static final Duration GRACE = Duration.ofMillis(100);

    private final RequestId mId;
    private final SimulatedProcess mDaemon;
    private final Supplier<Instant> mNow;
    private final int mPausesBefore;
    private final Instant mLatestAnswer;
    private final List<String> mTokens = new ArrayList<>();
    private final List<Runnable> mDisconnectActions = new ArrayList<>();
    private final List<Runnable> mWrittenActions = new ArrayList<>();
    private Optional<String> mServiceAnswer = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();
    private Optional<Instant> mAnsweredAt = Optional.empty();

    SimulatedCaller(
            RequestId id, SimulatedProcess daemon, Supplier<Instant> now, Duration timeout) {
        mId = id;
        mDaemon = daemon;
        mNow = now;
        mPausesBefore = daemon.pauseCount();
        mLatestAnswer = now.get().plus(timeout).plus(GRACE);
    }

    @Override
    public void tokens(int offset, int count, String text) {
        mTokens.add(text);
    }

    @Override
    public void serviceAnswer(ServiceAnswer answer) {
        mServiceAnswer = Optional.of(answer.body().toString());
    }

    @Override
    public void onCallerGone(Runnable action) {
        mDisconnectActions.add(action);
    }

    @Override
    public void onWritten(Runnable action) {
        mWrittenActions.add(action);
    }

    /** Disconnects without waiting for the answer; has no effect if the daemon has died. */
    void disconnect() {
        List.copyOf(mDisconnectActions).forEach(a -> mDaemon.schedule(Duration.ZERO, a));
    }

    /** Records a final outcome; returns whether it is the first one. */
    boolean recordOutcome(Outcome outcome) {
        boolean first = mOutcome.isEmpty();
        mOutcome = Optional.of(outcome);
        mAnsweredAt = Optional.of(mNow.get());
        mWrittenActions.forEach(Runnable::run);
        mWrittenActions.clear();
        return first;
    }

    RequestId id() {
        return mId;
    }

    List<String> tokens() {
        return mTokens;
    }

    String serviceAnswer() {
        return mServiceAnswer.orElse("");
    }

    boolean isAnsweredOrLost() {
        return mOutcome.isPresent() || !mDaemon.alive();
    }

    /** Returns whether the answer came in time; true if the daemon was paused since the request. */
    boolean isInTime() {
        return mDaemon.pauseCount() != mPausesBefore
                || mAnsweredAt.map(a -> !a.isAfter(mLatestAnswer)).orElse(true);
    }

    @Override
    public String toString() {
        return mId + " " + mOutcome;
    }
}
