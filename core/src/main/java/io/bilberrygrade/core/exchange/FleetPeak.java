package io.bilberrygrade.core.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The largest recent size of the fleet. Daemons that can't be reached any more may still run, so
 * what is divided among all daemons is divided by this number rather than by the current one.
 */
final class FleetPeak {
    /** Time for which a daemon that is out of reach is assumed to run. */
    static final Duration HOLD_TIME = Duration.ofMinutes(10);

    /** Sizes in decreasing order, each observed later than the one before. */
    private final Deque<Observation> mObservations = new ArrayDeque<>();

    /** Records the size of the fleet as it is known now, or as a peer reported it. */
    void observe(int size, Instant now) {
        while (!mObservations.isEmpty() && mObservations.getLast().size() <= size) {
            mObservations.removeLast();
        }
        mObservations.addLast(new Observation(size, now));
    }

    /** Returns the largest size that was observed recently; 1 if there is none. */
    int size(Instant now) {
        Instant since = now.minus(HOLD_TIME);
        while (mObservations.size() > 1 && mObservations.getFirst().at().isBefore(since)) {
            mObservations.removeFirst();
        }
        return mObservations.isEmpty() ? 1 : mObservations.getFirst().size();
    }

    private record Observation(int size, Instant at) {}
}
