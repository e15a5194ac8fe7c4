package io.bilberrygrade.standins.load.pattern;

/** One request and what its caller sees of it. */
final class PatternRequest {
    private static final double TOKENS_PER_EVENT = 46;

    private final PatternClass mClass;
    private final long mTokens;
    private final double mArrivedAt;
    private Runnable mOnFirst = () -> {};
    private Runnable mOnEnd = () -> {};
    private double mContext;
    private double mFirstAt = -1;
    private double mLastAt;
    private double mLongestPause;
    private int mEvents;

    PatternRequest(PatternClass ofClass, long tokens, double arrivedAt) {
        mClass = ofClass;
        mTokens = tokens;
        mArrivedAt = arrivedAt;
        mContext = tokens;
    }

    PatternClass ofClass() {
        return mClass;
    }

    double arrivedAt() {
        return mArrivedAt;
    }

    long tokens() {
        return mTokens;
    }

    /** Registers what the daemon does at the first event of this sending, and at the end. */
    void sent(Runnable onFirst, Runnable onEnd) {
        mOnFirst = onFirst;
        mOnEnd = onEnd;
        mContext = mTokens + mEvents * TOKENS_PER_EVENT;
    }

    /** Returns the context whose cost its writer adds to a step. */
    double context() {
        return mContext;
    }

    /** States that the context is spread evenly over several engines. */
    void divideContext(int engines) {
        mContext /= engines;
    }

    /** Takes an event in; returns whether it was the last. */
    boolean wrote(double now) {
        mOnFirst.run();
        mOnFirst = () -> {};
        if (mEvents == 0) {
            mFirstAt = now;
        } else {
            mLongestPause = Math.max(mLongestPause, now - mLastAt);
        }
        mLastAt = now;
        mEvents++;
        mContext += TOKENS_PER_EVENT;
        if (mEvents >= mClass.events()) {
            mOnEnd.run();
            return true;
        }
        return false;
    }

    boolean ended() {
        return mEvents >= mClass.events();
    }

    /** Returns the time to the first event; negative if there was none. */
    double firstMillis() {
        return mFirstAt < 0 ? -1 : mFirstAt - mArrivedAt;
    }

    boolean inTime() {
        return ended()
                && firstMillis() <= mClass.goalMillis()
                && mLongestPause <= mClass.pauseMillis();
    }

    double worth() {
        return ended() ? mClass.worth(mTokens, inTime()) : 0;
    }
}
