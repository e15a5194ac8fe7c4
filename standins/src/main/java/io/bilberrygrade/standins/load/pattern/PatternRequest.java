package io.bilberrygrade.standins.load.pattern;

/** One request and the progress of its answer as its caller observes it. */
final class PatternRequest {
    private static final double TOKENS_PER_EVENT = 46;

    private final PatternClass mRequestClass;
    private final long mTokens;
    private final double mArrivedAt;
    private Runnable mOnFirst = () -> {};
    private Runnable mOnEnd = () -> {};
    private double mContext;
    private double mFirstAt = -1;
    private double mLastAt;
    private double mLongestGap;
    private int mEvents;

    PatternRequest(PatternClass requestClass, long tokens, double arrivedAt) {
        mRequestClass = requestClass;
        mTokens = tokens;
        mArrivedAt = arrivedAt;
        mContext = tokens;
    }

    PatternClass requestClass() {
        return mRequestClass;
    }

    double arrivedAt() {
        return mArrivedAt;
    }

    long tokens() {
        return mTokens;
    }

    /** Starts an attempt with callbacks for its first event and its end. */
    void startAttempt(Runnable onFirst, Runnable onEnd) {
        mOnFirst = onFirst;
        mOnEnd = onEnd;
        mContext = mTokens + mEvents * TOKENS_PER_EVENT;
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
        mContext += TOKENS_PER_EVENT;
        if (mEvents >= mRequestClass.events()) {
            mOnEnd.run();
            return true;
        }
        return false;
    }

    boolean hasEnded() {
        return mEvents >= mRequestClass.events();
    }

    /** Returns the time to the first event in milliseconds; negative if there was none. */
    double firstEventMillis() {
        return mFirstAt < 0 ? -1 : mFirstAt - mArrivedAt;
    }

    boolean isInTime() {
        return hasEnded()
                && firstEventMillis() <= mRequestClass.firstEventGoalMillis()
                && mLongestGap <= mRequestClass.gapGoalMillis();
    }

    double worth() {
        return hasEnded() ? mRequestClass.worth(mTokens, isInTime()) : 0;
    }
}
