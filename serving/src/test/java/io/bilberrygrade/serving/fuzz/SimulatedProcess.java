package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** Process that can be killed and paused, with its own clock offset. */
public final class SimulatedProcess implements Timers, InstantSource {
    private final VirtualTime mTime;
    private final Duration mClockOffset;
    private final List<Runnable> mDeathActions = new ArrayList<>();
    private Instant mPausedUntil = Instant.MIN;
    private boolean mAlive = true;
    private int mPauseCount;
    private Duration mTimerLateness = Duration.ZERO;

    /** Creates a process whose clock is ahead by the given offset. */
    public SimulatedProcess(VirtualTime time, Duration clockOffset) {
        mTime = time;
        mClockOffset = clockOffset;
    }

    /** Returns whether the process runs or is paused, that is, hasn't been killed. */
    public boolean alive() {
        return mAlive;
    }

    /** Returns when the last pause ends. */
    public Instant pausedUntil() {
        return mPausedUntil;
    }

    /** Returns how often the process has been paused. */
    public int pauseCount() {
        return mPauseCount;
    }

    /** Suspends the process for the given time. */
    public void pause(Duration duration) {
        mPauseCount++;
        mPausedUntil = mTime.now().plus(duration);
    }

    /** Lets timers fire late by the given time from now on, as on an overloaded processor. */
    public void setTimerLateness(Duration lateness) {
        mTimerLateness = lateness;
    }

    /** Kills the process permanently. */
    public void kill() {
        mAlive = false;
        mPausedUntil = Instant.MIN;
        List.copyOf(mDeathActions).forEach(Runnable::run);
    }

    /** Registers an action that runs when the process dies, such as failing its connections. */
    public void onDeath(Runnable action) {
        mDeathActions.add(action);
    }

    /** Runs an action of the process after a delay. */
    public void schedule(Duration delay, Runnable action) {
        mTime.schedule(this, delay, action);
    }

    @Override
    public Instant instant() {
        return mTime.now().plus(mClockOffset);
    }

    @Override
    public Uni<Void> after(Duration delay) {
        return Uni.createFrom()
                .emitter(
                        e ->
                                schedule(
                                        (delay.isNegative() ? Duration.ZERO : delay)
                                                .plus(mTimerLateness),
                                        () -> e.complete(null)));
    }
}
