package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.PrefillRate;
import java.time.Duration;
import java.time.Instant;

/**
 * Request in flight on an engine. Its progress updates the engine's backlog and prefill rate
 * estimates.
 */
public final class Dispatch {
    private final EndpointController mController;
    private final EndpointState mState;
    private final EndpointId mEngine;
    private final long mDispatchNumber;
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
        mDispatchNumber = number;
        mPrompt = prompt;
        mPredictedRate = predictedRate;
        mTokensAhead = tokensAhead;
        mUncachedTokens = uncachedTokens;
        mSentAt = sentAt;
    }

    /**
     * Records the first token, which ends prefill, and updates the prefill rate; later calls have
     * no effect.
     */
    public void firstToken(Instant now) {
        if (mPrefilled || mEnded) {
            return;
        }
        mPrefilled = true;
        mState.recordPrefill(mDispatchNumber, now);
        mController.recordPrefill(mEngine, mPrompt);
        if (mTokensAhead <= mUncachedTokens) {
            PrefillRate current = mState.rate().orElse(mPredictedRate);
            long tokens = Math.round(mTokensAhead) + mUncachedTokens;
            mState.setRate(current.observe(tokens, Duration.between(mSentAt, now)));
        }
    }

    /**
     * Records that the request is no longer in flight, whether it succeeded or not; later calls
     * have no effect.
     */
    public void ended(Instant now) {
        if (!mEnded) {
            mEnded = true;
            mState.recordEnd(mDispatchNumber, now);
        }
    }
}
