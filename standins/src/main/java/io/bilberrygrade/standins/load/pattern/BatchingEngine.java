package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Simulated engine with continuous batching. Each pass produces one event of every answer in the
 * batch and prefills queued prompts, at most one chunk per step; parts of prompts of other engines
 * are prefilled before the engine's own.
 */
final class BatchingEngine {
    private final RegisteredEndpoint mEndpoint;
    private final EngineCost mCost;
    private final VirtualClock mClock;
    private final Deque<Prefill> mHelperPrefills = new ArrayDeque<>();
    private final Deque<Prefill> mOwnPrefills = new ArrayDeque<>();
    private final List<PatternRequest> mDecoding = new ArrayList<>();
    private final Deque<Runnable> mAdmissionQueue = new ArrayDeque<>();
    private int mOccupiedSlots;
    private double mLongPrefillMillis;
    private double mShortPrefillMillis;
    private boolean mBusy;
    private boolean mCrashed;
    private double mSpeed = 1;

    BatchingEngine(RegisteredEndpoint endpoint, EngineCost cost, VirtualClock clock) {
        mEndpoint = endpoint;
        mCost = cost;
        mClock = clock;
    }

    RegisteredEndpoint endpoint() {
        return mEndpoint;
    }

    /** Sets how many times as fast as published the engine is. */
    void setSpeed(double speed) {
        mSpeed = speed;
    }

    /** Runs {@code admitted} once a slot is free for a request. */
    void admit(Runnable admitted) {
        if (mOccupiedSlots < mCost.slots()) {
            mOccupiedSlots++;
            admitted.run();
        } else {
            mAdmissionQueue.add(admitted);
        }
    }

    /** Returns the time that was spent on prefill of parts of long prompts so far. */
    double longPrefillMillis() {
        return mLongPrefillMillis;
    }

    /** Returns the time that was spent on prefill of short prompts so far. */
    double shortPrefillMillis() {
        return mShortPrefillMillis;
    }

    /** Queues the prefill of a part of a prompt, for this engine or on behalf of another one. */
    void prefill(Part part, boolean forOtherEngine, Runnable done) {
        (forOtherEngine ? mHelperPrefills : mOwnPrefills).add(new Prefill(part, done));
        startIfIdle();
    }

    /** Starts to decode an answer whose whole prompt has been prefilled. */
    void decode(PatternRequest request) {
        mDecoding.add(request);
        startIfIdle();
    }

    /** Stops the engine permanently and drops all its work without notice. */
    void crash() {
        mCrashed = true;
        mHelperPrefills.clear();
        mOwnPrefills.clear();
        mDecoding.clear();
        mAdmissionQueue.clear();
    }

    private void startIfIdle() {
        if (!mBusy && !mCrashed) {
            mBusy = true;
            mClock.schedule(0, this::startPass);
        }
    }

    private void startPass() {
        if (mDecoding.isEmpty() && mHelperPrefills.isEmpty() && mOwnPrefills.isEmpty()) {
            mBusy = false;
            return;
        }
        long context = Math.round(mDecoding.stream().mapToDouble(PatternRequest::context).sum());
        List<PatternRequest> decoding = List.copyOf(mDecoding);
        int steps = decoding.isEmpty() ? 1 : mCost.stride();
        List<Runnable> completed = new ArrayList<>();
        double prefillMillis = prefillChunks(steps, completed);
        double passMillis = mCost.passMillis(decoding.size(), context) + prefillMillis;
        mClock.schedule(passMillis / mSpeed, () -> endPass(decoding, completed));
    }

    private double prefillChunks(int steps, List<Runnable> done) {
        double millis = 0;
        for (int step = 0; step < steps; step++) {
            double remainingTokens = mCost.chunkTokens();
            while (remainingTokens > 0 && !(mHelperPrefills.isEmpty() && mOwnPrefills.isEmpty())) {
                Deque<Prefill> queue = mHelperPrefills.isEmpty() ? mOwnPrefills : mHelperPrefills;
                Prefill next = queue.peekFirst();
                double tokens = Math.min(remainingTokens, next.mTokens);
                double part = next.mMillis * tokens / next.mTokens;
                millis += part;
                countPrefill(next, part);
                remainingTokens -= tokens;
                next.mTokens -= tokens;
                next.mMillis -= part;
                if (next.mTokens <= 0) {
                    queue.removeFirst();
                    done.add(next.mDone);
                }
            }
        }
        return millis;
    }

    private void countPrefill(Prefill prefill, double millis) {
        if (prefill.mShort) {
            mShortPrefillMillis += millis;
        } else {
            mLongPrefillMillis += millis;
        }
    }

    private void endPass(List<PatternRequest> decoding, List<Runnable> completed) {
        if (mCrashed) {
            return;
        }
        for (PatternRequest r : decoding) {
            if (r.recordEvent(mClock.nowMillis())) {
                mDecoding.remove(r);
                mOccupiedSlots--;
                if (!mAdmissionQueue.isEmpty()) {
                    mOccupiedSlots++;
                    mAdmissionQueue.removeFirst().run();
                }
            }
        }
        completed.forEach(Runnable::run);
        startPass();
    }

    /** Part of a prompt, or a whole short one, with the time of its prefill. */
    record Part(double tokens, double millis, boolean ofShortPrompt) {}

    private static final class Prefill {
        private double mTokens;
        private double mMillis;
        private final boolean mShort;
        private final Runnable mDone;

        Prefill(Part part, Runnable done) {
            mTokens = part.tokens();
            mMillis = part.millis();
            mShort = part.ofShortPrompt();
            mDone = done;
        }
    }
}
