package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.filter.AnswerSink;
import io.bilberrygrade.serving.service.ServiceAnswer;
import io.smallrye.mutiny.Uni;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/** Records tokens, gaps and repeats of an answer just before it is written to the caller. */
final class RelayMonitor implements AnswerSink {
    private final AnswerSink mNext;
    private final InstantSource mClock;
    private Optional<Instant> mFirstToken = Optional.empty();
    private int mTokens;
    private int mGaps;
    private int mRepeats;

    RelayMonitor(AnswerSink next, InstantSource clock) {
        mNext = next;
        mClock = clock;
    }

    /** Returns the counts of the answer so far. */
    RelayCounts relayCounts() {
        return new RelayCounts(mFirstToken, mTokens, mGaps, mRepeats);
    }

    @Override
    public void tokens(int offset, int count, String text) {
        if (mFirstToken.isEmpty()) {
            mFirstToken = Optional.of(mClock.instant());
        }
        if (offset > mTokens) {
            mGaps++;
        } else if (offset < mTokens) {
            mRepeats++;
        }
        mTokens = Math.max(mTokens, offset + count);
        mNext.tokens(offset, count, text);
    }

    @Override
    public void serviceAnswer(ServiceAnswer answer) {
        mFirstToken = Optional.of(mClock.instant());
        mNext.serviceAnswer(answer);
    }

    @Override
    public Uni<Void> writable() {
        return mNext.writable();
    }

    @Override
    public void onCallerGone(Runnable action) {
        mNext.onCallerGone(action);
    }

    @Override
    public void onWritten(Runnable action) {
        mNext.onWritten(action);
    }
}
