package io.bilberrygrade.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Ranks the requests of a class by worth per token of work, among the most recent 200 requests.
 * Under overload, the requests with the highest worth per token are kept.
 */
public final class WorthRanking {
    private static final int MAX_SAMPLES = 200;

    private record Work(double worthPerToken, long tokens) {}

    private final Deque<Work> mRecent = new ArrayDeque<>();

    /** Creates a ranking without any requests. */
    public WorthRanking() {}

    /** Records a request that arrived. */
    public void recordArrival(double worth, long tokens) {
        mRecent.add(new Work(worth / tokens, tokens));
        if (mRecent.size() > MAX_SAMPLES) {
            mRecent.remove();
        }
    }

    /**
     * Returns whether a request belongs to the given fraction, from 0 to 1, of the recent work that
     * has the highest worth per token.
     */
    public boolean isInTopFraction(double worth, long tokens, double fraction) {
        double total = mRecent.stream().mapToLong(Work::tokens).sum();
        double tokensRankedHigher = 0;
        double requestWorthPerToken = worth / tokens;
        List<Work> byWorthPerToken =
                mRecent.stream()
                        .sorted(Comparator.comparingDouble(Work::worthPerToken).reversed())
                        .toList();
        for (Work work : byWorthPerToken) {
            if (work.worthPerToken() <= requestWorthPerToken) {
                return tokensRankedHigher < fraction * total;
            }
            tokensRankedHigher += work.tokens();
        }
        return tokensRankedHigher < fraction * total;
    }
}
