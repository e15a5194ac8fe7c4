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

/** Caller that waits for the answer of one request. */
final class SimulatedCaller implements AnswerSink {
    private static final Duration GRACE = Duration.ofMillis(100);

    private final RequestId mId;
    private final SimulatedProcess mDaemon;
    private final Supplier<Instant> mNow;
    private final int mPausesBefore;
    private final Instant mLatest;
    private final List<String> mTokens = new ArrayList<>();
    private final List<Runnable> mGoneActions = new ArrayList<>();
    private final List<Runnable> mWrittenActions = new ArrayList<>();
    private Optional<String> mServiceAnswer = Optional.empty();
    private Optional<Outcome> mOutcome = Optional.empty();
    private Optional<Instant> mAnsweredAt = Optional.empty();

    SimulatedCaller(
            RequestId id, SimulatedProcess daemon, Supplier<Instant> now, Duration timeout) {
        mId = id;
        mDaemon = daemon;
        mNow = now;
        mPausesBefore = daemon.pauses();
        mLatest = now.get().plus(timeout).plus(GRACE);
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
        mGoneActions.add(action);
    }

    @Override
    public void onWritten(Runnable action) {
        mWrittenActions.add(action);
    }

    /** Goes away without waiting for the answer; a daemon that has ended no longer sees it. */
    void leave() {
        List.copyOf(mGoneActions).forEach(a -> mDaemon.schedule(Duration.ZERO, a));
    }

    /** Takes the final outcome; returns whether it is the first one. */
    boolean end(Outcome outcome) {
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

    boolean answeredOrLost() {
        return mOutcome.isPresent() || !mDaemon.alive();
    }

    /** Returns whether the answer came in time, or the daemon was paused meanwhile. */
    boolean inTime() {
        return mDaemon.pauses() != mPausesBefore
                || mAnsweredAt.map(a -> !a.isAfter(mLatest)).orElse(true);
    }

    @Override
    public String toString() {
        return mId + " " + mOutcome;
    }
}
