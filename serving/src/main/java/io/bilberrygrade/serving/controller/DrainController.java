package io.bilberrygrade.serving.controller;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns whether the daemon takes new requests, and knows how many are running, so that a shutdown
 * cuts off none of them.
 */
public final class DrainController {
    private boolean mReady;
    private boolean mDraining;
    private int mRunning;
    private final List<Runnable> mIdleActions = new ArrayList<>();

    /** States that the daemon has what it needs to take requests. */
    public void becomeReady() {
        mReady = true;
    }

    /** Returns whether the daemon has taken requests since it started. */
    public boolean serving() {
        return mReady;
    }

    /** Returns whether new requests are taken. */
    public boolean accepting() {
        return mReady && !mDraining;
    }

    /** Returns whether the daemon is draining. */
    public boolean draining() {
        return mDraining;
    }

    /** Returns the number of running requests. */
    public int running() {
        return mRunning;
    }

    /** Counts a request that starts to run. */
    public void started() {
        mRunning++;
    }

    /** Counts a request that has its final answer. */
    public void finished() {
        mRunning--;
        if (mRunning == 0) {
            mIdleActions.forEach(Runnable::run);
            mIdleActions.clear();
        }
    }

    /** Refuses new requests from now on and completes once none is running. */
    public Uni<Void> drain() {
        mDraining = true;
        return Uni.createFrom().emitter(e -> whenIdle(() -> e.complete(null)));
    }

    private void whenIdle(Runnable action) {
        if (mRunning == 0) {
            action.run();
        } else {
            mIdleActions.add(action);
        }
    }
}
