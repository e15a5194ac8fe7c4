package io.bilberrygrade.serving.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Clock and event queue of a simulation, which doesn't wait for real time. */
public final class VirtualTime {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
    private Instant mNow = Instant.ofEpochSecond(1_700_000_000);
    private long mSequence;

    /** Returns the current simulated time. */
    public Instant now() {
        return mNow;
    }

    /**
     * Schedules an action of a process. The action waits for the end of a pause and is dropped if
     * the process dies.
     */
    public void schedule(SimulatedProcess process, Duration delay, Runnable action) {
        mEvents.add(new Event(mNow.plus(delay), mSequence++, process, action));
    }

    /** Advances the time and runs all events that are due. */
    public void advance(Duration duration) {
        Instant end = mNow.plus(duration);
        while (!mEvents.isEmpty() && !mEvents.peek().at().isAfter(end)) {
            Event event = mEvents.remove();
            mNow = event.at();
            run(event);
        }
        mNow = end;
    }

    private void run(Event event) {
        SimulatedProcess process = event.process();
        if (process.pausedUntil().isAfter(mNow)) {
            mEvents.add(
                    new Event(process.pausedUntil(), event.sequence(), process, event.action()));
        } else if (process.alive()) {
            event.action().run();
        }
    }

    private record Event(Instant at, long sequence, SimulatedProcess process, Runnable action) {}
}
