package io.bilberrygrade.standins.load.pattern;

import java.util.Optional;

/** One request and the progress of its answer as its caller observes it. */
final class PatternRequest {
    private final PatternClass mRequestClass;
    private final long mTokens;
    private final double mArrivedAt;
    private final double mTokensPerEvent;
    private final FirstEventDelay mDelay = new FirstEventDelay();
    private Runnable mOnFirst = () -> {};
    private Runnable mOnEnd = () -> {};
    private double mContext;
    private double mFirstAt = -1;
    private double mLastAt;
    private double mLongestGap;
    private int mEvents;
    private boolean mPlaced;

    PatternRequest(
            PatternClass requestClass, long tokens, double arrivedAt, double tokensPerEvent) {
        mRequestClass = requestClass;
        mTokens = tokens;
        mArrivedAt = arrivedAt;
        mTokensPerEvent = tokensPerEvent;
        mContext = tokens;
    }

    PatternClass requestClass() {
        return mRequestClass;
    }

    /** Returns what its first event waited for at its engine. */
    FirstEventDelay delay() {
        return mDelay;
    }

    double arrivedAt() {
        return mArrivedAt;
    }

    long tokens() {
        return mTokens;
    }

    /** Starts an attempt with callbacks for its first event and its end. */
    void startAttempt(Runnable onFirst, Runnable onEnd) {
        mPlaced = true;
        mOnFirst = onFirst;
        mOnEnd = onEnd;
        mContext = mTokens + mEvents * mTokensPerEvent;
    }

    /** Returns the context in tokens that adds to the time of each step of its engine. */
    double context() {
        return mContext;
    }

    /** Divides the context evenly among several engines. */
    void divideContext(int engines) {
        mContext /= engines;
    }

    /** Records an event and returns whether it was the last. */
    boolean recordEvent(double now) {
        mOnFirst.run();
        mOnFirst = () -> {};
        if (mEvents == 0) {
            mFirstAt = now;
        } else {
            mLongestGap = Math.max(mLongestGap, now - mLastAt);
        }
        mLastAt = now;
        mEvents++;
        mContext += mTokensPerEvent;
        if (mEvents >= mRequestClass.events()) {
            mOnEnd.run();
            return true;
        }
        return false;
    }

    /** Returns whether it was sent to an engine, rather than refused. */
    boolean isPlaced() {
        return mPlaced;
    }

    boolean hasEnded() {
        return mEvents >= mRequestClass.events();
    }

    /** Returns the time to the first event in milliseconds; negative if there was none. */
    double firstEventMillis() {
        return mFirstAt < 0 ? -1 : mFirstAt - mArrivedAt;
    }

    /** Returns why the request is late; empty if it isn't, or if it never got an event. */
    Optional<LateCause> lateCause() {
        if (isInTime() || mFirstAt < 0) {
            return Optional.empty();
        }
        return Optional.of(isFirstEventInTime() ? LateCause.GAP : mDelay.cause(firstEventMillis()));
    }

    private boolean isFirstEventInTime() {
        return mFirstAt >= 0 && firstEventMillis() <= mRequestClass.firstEventGoalMillis();
    }

    boolean isInTime() {
        return hasEnded() && isFirstEventInTime() && mLongestGap <= mRequestClass.gapGoalMillis();
    }

    double worth() {
        return hasEnded() ? mRequestClass.worth(mTokens, isInTime()) : 0;
    }
}
