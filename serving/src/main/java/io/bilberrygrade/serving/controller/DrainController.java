package io.bilberrygrade.serving.controller;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks readiness, draining and the number of running requests, so that a shutdown can wait for
 * them to finish.
 */
public final class DrainController {
    private boolean mReady;
    private boolean mDraining;
    private int mRunningRequests;
    private final List<Runnable> mIdleActions = new ArrayList<>();

    /** Marks the daemon ready to accept requests. */
    public void becomeReady() {
        mReady = true;
    }

    /** Returns whether the daemon has become ready; stays true while it drains. */
    public boolean hasBecomeReady() {
        return mReady;
    }

    /** Returns whether new requests are accepted. */
    public boolean isAccepting() {
        return mReady && !mDraining;
    }

    /** Returns whether the daemon is draining. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the number of running requests. */
    public int runningRequests() {
        return mRunningRequests;
    }

    /** Records the start of a request. */
    public void recordStart() {
        mRunningRequests++;
    }

    /** Records the end of a request; the last one completes a pending drain. */
    public void recordEnd() {
        mRunningRequests--;
        if (mRunningRequests == 0) {
            mIdleActions.forEach(Runnable::run);
            mIdleActions.clear();
        }
    }

    /** Stops accepting new requests and completes once none is running. */
    public Uni<Void> drain() {
        mDraining = true;
        return Uni.createFrom().emitter(e -> runWhenIdle(() -> e.complete(null)));
    }

    private void runWhenIdle(Runnable action) {
        if (mRunningRequests == 0) {
            action.run();
        } else {
            mIdleActions.add(action);
        }
    }
}
