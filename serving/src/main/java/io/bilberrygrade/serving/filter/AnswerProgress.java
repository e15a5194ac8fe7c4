package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.engine.EngineEvent;

/**
 * How far an answer has been relayed. Tokens that were relayed already are dropped, so that a late
 * or overlapping answer of an earlier attempt never doubles one.
 */
public final class AnswerProgress {
    private final AnswerSink mSink;
    private int mNextOffset;
    private boolean mMayHaveRun;

    /** Creates the progress of an answer of which nothing was relayed. */
    public AnswerProgress(AnswerSink sink) {
        mSink = sink;
    }

    /** Returns the offset of the next token to relay. */
    public int nextOffset() {
        return mNextOffset;
    }

    /** Returns whether any engine may have run the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** States that an engine may have run the request. */
    public void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Relays tokens; returns false when they would leave a gap. */
    public boolean accept(EngineEvent.Tokens tokens) {
        if (tokens.offset() > mNextOffset) {
            return false;
        }
        if (tokens.offset() == mNextOffset) {
            mSink.tokens(tokens.offset(), tokens.count(), tokens.text());
            mNextOffset += tokens.count();
        }
        return true;
    }
}
