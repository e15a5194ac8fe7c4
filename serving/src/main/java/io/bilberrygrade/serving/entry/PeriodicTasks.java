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
 * Runs background work again and again. A pause starts when the work has ended, so that slow work
 * never piles up, and varies by a quarter, so that daemons don't act in step.
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
     * Runs the work now and then again after each pause. A failure is logged and changes nothing.
     */
    public void repeat(String name, Duration pause, Supplier<Uni<Void>> work) {
        repeatUntil(name, pause, work, () -> false);
    }

    /** Runs the work as {@link #repeat} does, until it is done. */
    public void repeatUntil(
            String name, Duration pause, Supplier<Uni<Void>> work, BooleanSupplier done) {
        if (mClosed || done.getAsBoolean()) {
            return;
        }
        work.get()
                .onTermination()
                .invoke(
                        () ->
                                mTimers.after(jittered(pause))
                                        .subscribe()
                                        .with(t -> repeatUntil(name, pause, work, done)))
                .subscribe()
                .with(
                        v -> {},
                        e ->
                                mEvents.record(
                                        new LifecycleEvent.UnexpectedError(name, e.toString())));
    }

    private Duration jittered(Duration pause) {
        double factor = 1 - JITTER + 2 * JITTER * mRandom.nextDouble();
        return Duration.ofMillis(Math.max(1, Math.round(pause.toMillis() * factor)));
    }

    @Override
    public void close() {
        mClosed = true;
    }
}
