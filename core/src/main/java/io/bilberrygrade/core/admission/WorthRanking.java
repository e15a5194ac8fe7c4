package io.bilberrygrade.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Ranks the requests of a class by worth per token of work among those that arrived of late. Under
 * overload the part of the work with the most worth per token is kept.
 */
public final class WorthRanking {
    private static final int MAX_SAMPLES = 200;

    private record Work(double worthPerToken, long tokens) {}

    private final Deque<Work> mRecent = new ArrayDeque<>();

    /** Creates a ranking that knows of no request. */
    public WorthRanking() {}

    /** Takes note of a request that arrived. */
    public void arrived(double worth, long tokens) {
        mRecent.add(new Work(worth / tokens, tokens));
        if (mRecent.size() > MAX_SAMPLES) {
            mRecent.remove();
        }
    }

    /**
     * Returns whether a request belongs to the given part, from 0 to 1, of the recent work that has
     * the most worth per token.
     */
    public boolean isAmongBest(double worth, long tokens, double part) {
        double total = mRecent.stream().mapToLong(Work::tokens).sum();
        double kept = 0;
        double density = worth / tokens;
        List<Work> best =
                mRecent.stream()
                        .sorted(Comparator.comparingDouble(Work::worthPerToken).reversed())
                        .toList();
        for (Work work : best) {
            if (work.worthPerToken() <= density) {
                return kept < part * total;
            }
            kept += work.tokens();
        }
        return kept < part * total;
    }
}
