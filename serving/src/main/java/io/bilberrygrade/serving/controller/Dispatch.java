package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.PrefillRate;
import java.time.Duration;
import java.time.Instant;

/** One request on its way through an engine, from which this daemon learns what the engine does. */
public final class Dispatch {
    private final EndpointController mController;
    private final EndpointState mState;
    private final EndpointId mEngine;
    private final long mNumber;
    private final Prompt mPrompt;
    private final PrefillRate mPredictedRate;
    private final double mTokensAhead;
    private final long mUncachedTokens;
    private final Instant mSentAt;
    private boolean mPrefilled;
    private boolean mEnded;

    Dispatch(
            EndpointController controller,
            EndpointState state,
            EndpointId engine,
            Prompt prompt,
            long number,
            PrefillRate predictedRate,
            double tokensAhead,
            long uncachedTokens,
            Instant sentAt) {
        mController = controller;
        mState = state;
        mEngine = engine;
        mNumber = number;
        mPrompt = prompt;
        mPredictedRate = predictedRate;
        mTokensAhead = tokensAhead;
        mUncachedTokens = uncachedTokens;
        mSentAt = sentAt;
    }

    /** Learns from the first token; later calls change nothing. */
    public void firstToken(Instant now) {
        if (mPrefilled || mEnded) {
            return;
        }
        mPrefilled = true;
        mState.prefilled(mNumber, now);
        mController.prefilled(mEngine, mPrompt);
        if (mTokensAhead <= mUncachedTokens) {
            PrefillRate known = mState.rate().orElse(mPredictedRate);
            long tokens = Math.round(mTokensAhead) + mUncachedTokens;
            mState.setRate(known.observe(tokens, Duration.between(mSentAt, now)));
        }
    }

    /** Notes that the request has left the engine, in whatever way; later calls change nothing. */
    public void ended(Instant now) {
        if (!mEnded) {
            mEnded = true;
            mState.ended(mNumber, now);
        }
    }
}
