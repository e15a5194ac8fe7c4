package io.bilberrygrade.core.contention;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Ranks of the requests that this instance has in flight, as a sample of those of all instances,
 * whose sums don't state ranks. It counts requests in flight rather than arrivals, since those of
 * low rank wait longer and are the larger part of a queue.
 */
final class RunningRanks {
    private final Map<Rank, Integer> mRunning = new HashMap<>();

    void add(Rank rank) {
        mRunning.merge(rank, 1, Integer::sum);
    }

    void remove(Rank rank) {
        mRunning.computeIfPresent(rank, (k, n) -> n > 1 ? n - 1 : null);
    }

    int count() {
        return mRunning.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns the fraction of the requests in flight that engines run before one of the rank. One
     * request is added that they don't, so that few of them predict a short wait rather than a long
     * one.
     */
    double aheadFraction(Rank rank) {
        return fraction(r -> r.compareTo(rank) <= 0);
    }

    /** Returns the fraction of the requests in flight that are of higher ranks. */
    double higherFraction(Rank rank) {
        return fraction(r -> r.compareTo(rank) < 0);
    }

    private double fraction(Predicate<Rank> counted) {
        int sum =
                mRunning.entrySet().stream()
                        .filter(e -> counted.test(e.getKey()))
                        .mapToInt(Map.Entry::getValue)
                        .sum();
        return sum / (count() + 1.0);
    }
}
