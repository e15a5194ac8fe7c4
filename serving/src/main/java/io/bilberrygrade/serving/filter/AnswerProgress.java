package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.engine.EngineEvent;
import io.smallrye.mutiny.Uni;

/**
 * Progress of relaying an answer to the caller. Drops tokens that were already relayed and tokens
 * of earlier attempts, so that a late or overlapping answer never duplicates tokens.
 */
public final class AnswerProgress {
    private final AnswerSink mSink;
    private final boolean mResumes;
    private int mNextOffset;
    private int mAttempt;
    private boolean mAttemptInFlight;
    private boolean mMayHaveRun;

    /** Creates the progress of an answer of which nothing has been relayed. */
    public AnswerProgress(AnswerSink sink) {
        this(sink, true);
    }

    /**
     * Creates the progress of an answer; unless {@code resumes}, each attempt restarts it at offset
     * 0.
     */
    AnswerProgress(AnswerSink sink, boolean resumes) {
        mSink = sink;
        mResumes = resumes;
    }

    /** Returns the offset of the next token to relay. */
    public int nextOffset() {
        return mNextOffset;
    }

    /** Returns whether any engine may have run the request or may still be running it. */
    public boolean mayHaveRun() {
        return mMayHaveRun || mAttemptInFlight;
    }

    /** Records that an engine may have run the request. */
    public void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /**
     * Starts the next attempt and returns its number, from 1; tokens of earlier attempts are
     * ignored from now on.
     */
    public int startAttempt() {
        mAttempt++;
        mAttemptInFlight = true;
        mNextOffset = mResumes ? mNextOffset : 0;
        return mAttempt;
    }

    /**
     * Ends the current attempt. Call {@link #markMayHaveRun} first if an engine may have run the
     * request.
     */
    public void endAttempt() {
        mAttemptInFlight = false;
    }

    /** Relays tokens of an attempt; returns false if they would leave a gap. */
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

    /** Completes when the caller's connection can accept more. */
    public Uni<Void> writable() {
        return mSink.writable();
    }
}
