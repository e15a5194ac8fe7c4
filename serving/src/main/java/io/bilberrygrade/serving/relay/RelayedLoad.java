package io.bilberrygrade.serving.relay;

/**
 * Bounds what peers may hand over to this daemon at a time, so that its own callers are still
 * served: peers that are refused go to others.
 */
public final class RelayedLoad {
    /** Requests of peers that may run at a time. */
    private static final int MAX_RUNNING = 128;

    /** The heap is so many times what the bodies of peers' requests may hold. */
    private static final int HEAP_PER_BODIES = 8;

    private final long mMaxBodyBytes = Runtime.getRuntime().maxMemory() / HEAP_PER_BODIES;
    private int mRunning;
    private long mBodyBytes;
    private long mTakenCount;

    /** Counts a request with a body of the given length, unless it would exceed the bounds. */
    public boolean tryAdd(long bodyBytes) {
        if (mRunning >= MAX_RUNNING || mBodyBytes + bodyBytes > mMaxBodyBytes) {
            return false;
        }
        mRunning++;
        mTakenCount++;
        mBodyBytes += bodyBytes;
        return true;
    }

    /** Ends a request that was counted. */
    public void remove(long bodyBytes) {
        mRunning--;
        mBodyBytes -= bodyBytes;
    }

    /** Returns the number of peers' requests that run. */
    public int running() {
        return mRunning;
    }

    /** Returns the bytes that the bodies of peers' requests hold. */
    public long bodyBytes() {
        return mBodyBytes;
    }

    /** Returns how many requests of peers were taken since the start. */
    public long takenCount() {
        return mTakenCount;
    }
}
