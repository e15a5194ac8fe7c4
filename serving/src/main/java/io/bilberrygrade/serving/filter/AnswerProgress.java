package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.engine.EngineEvent;
import io.smallrye.mutiny.Uni;

/**
 * How far an answer has been relayed. Tokens that were relayed already and tokens of an earlier
 * attempt are dropped, so that a late or overlapping answer never doubles one.
 */
public final class AnswerProgress {
    private final AnswerSink mSink;
    private final boolean mResumes;
    private int mNextOffset;
    private int mAttempt;
    private boolean mAttemptUndecided;
    private boolean mMayHaveRun;

    /** Creates the progress of an answer of which nothing was relayed. */
    public AnswerProgress(AnswerSink sink) {
        this(sink, true);
    }

    /** Creates the progress of an answer; without resumption, each attempt starts it again. */
    AnswerProgress(AnswerSink sink, boolean resumes) {
        mSink = sink;
        mResumes = resumes;
    }

    /** Returns the offset of the next token to relay. */
    public int nextOffset() {
        return mNextOffset;
    }

    /** Returns whether any engine may have run the request or may be running it. */
    public boolean mayHaveRun() {
        return mMayHaveRun || mAttemptUndecided;
    }

    /** States that an engine may have run the request. */
    public void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Starts the next attempt and returns its number, from 1; earlier ones count no more. */
    public int startAttempt() {
        mAttempt++;
        mAttemptUndecided = true;
        mNextOffset = mResumes ? mNextOffset : 0;
        return mAttempt;
    }

    /** Ends the running attempt; whether it may have run has been stated before. */
    public void endAttempt() {
        mAttemptUndecided = false;
    }

    /** Relays tokens of an attempt; returns false when they would leave a gap. */
    public boolean accept(int attempt, EngineEvent.Tokens tokens) {
        if (attempt != mAttempt) {
            return true;
        }
        if (tokens.offset() > mNextOffset) {
            return false;
        }
        if (tokens.offset() == mNextOffset) {
            mSink.tokens(tokens.offset(), tokens.count(), tokens.text());
            mNextOffset += tokens.count();
        }
        return true;
    }

    /** Completes when the caller has room for more. */
    public Uni<Void> writable() {
        return mSink.writable();
    }
}
