package io.bilberrygrade.serving.entry;

import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Runs background tasks periodically. The delay starts when a run ends, so that slow runs never
 * overlap, and is jittered by up to a quarter, so that daemons don't run in lockstep.
 */
public final class PeriodicTasks implements AutoCloseable {
    private static final double JITTER = 0.25;

    private final Timers mTimers;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private boolean mClosed;

    /** Creates an empty set of tasks. */
    public PeriodicTasks(Timers timers, UniformRandomProvider random, EventLog events) {
        mTimers = timers;
        mRandom = random;
        mEvents = events;
    }

    /**
     * Runs a task now and again after each delay. A failure is logged and doesn't stop the task.
     */
    public void repeat(String name, Duration delay, Supplier<Uni<Void>> task) {
        repeatUntil(name, delay, task, () -> false);
    }

    /** Runs a task like {@link #repeat} until {@code done} returns true. */
    public void repeatUntil(
            String name, Duration delay, Supplier<Uni<Void>> task, BooleanSupplier done) {
        if (mClosed || done.getAsBoolean()) {
            return;
        }
        Uni.createFrom()
                .deferred(task::get)
                .onTermination()
                .invoke(
                        () ->
                                mTimers.after(withJitter(delay))
                                        .subscribe()
                                        .with(t -> repeatUntil(name, delay, task, done)))
                .subscribe()
                .with(
                        v -> {},
                        e ->
                                mEvents.record(
                                        new LifecycleEvent.UnexpectedError(name, e.toString())));
    }

    private Duration withJitter(Duration delay) {
        double factor = 1 - JITTER + 2 * JITTER * mRandom.nextDouble();
        return Duration.ofMillis(Math.max(1, Math.round(delay.toMillis() * factor)));
    }

    @Override
    public void close() {
        mClosed = true;
    }
}
