package io.bilberrygrade.standins.load.pattern;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of their times; actions with equal times run in order of insertion. */
final class VirtualClock {
    private static final double MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Action> mActions =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Action::atMillis).thenComparing(Action::sequence));
    private double mNowMillis;
    private long mNextSequence;

    double nowMillis() {
        return mNowMillis;
    }

    Instant now() {
        return Instant.EPOCH.plusNanos(
                Math.round(mNowMillis * MICROS_PER_MILLI) * (long) MICROS_PER_MILLI);
    }

    void schedule(double millis, Runnable action) {
        mActions.add(new Action(mNowMillis + millis, mNextSequence++, action));
    }

    /** Runs all actions that are due by the given time. */
    void runUntil(double millis) {
        while (!mActions.isEmpty() && mActions.peek().atMillis() <= millis) {
            Action action = mActions.remove();
            mNowMillis = action.atMillis();
            action.action().run();
        }
    }

    private record Action(double atMillis, long sequence, Runnable action) {}
}
