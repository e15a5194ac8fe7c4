package io.bilberrygrade.core.cost;

import java.time.Instant;
import java.util.Optional;

/**
 * Cost of requests as learned from their responses, for load in which requests that look alike cost
 * very different amounts of work. For streams, what is learned is the ratio of the engine time to
 * the published figures, which are trusted until there are enough samples; for plain services,
 * which publish no figures, the duration itself.
 */
public final class LearnedCost {
    private final CostTable mTimes = new CostTable();
    private final CostTable mAnswers = new CostTable();

    /**
     * Records the time that a request took. {@code publishedMillis} is what the published figures
     * predict; 1 if there are none.
     */
    public void recordTime(CostKey key, double publishedMillis, double millis, Instant now) {
        mTimes.add(key, millis / publishedMillis, now);
    }

    /** Records the number of events of a complete answer. */
    public void recordAnswer(CostKey key, long events, Instant now) {
        mAnswers.add(key, (double) events, now);
    }

    /** Returns the distribution of a request's time; empty if not enough is known of its kind. */
    public Optional<CostDistribution> millis(CostKey key, double publishedMillis, Instant now) {
        return mTimes.find(key, now).map(d -> d.times(publishedMillis));
    }

    /** Returns the distribution of the number of events of an answer; empty if it isn't known. */
    public Optional<CostDistribution> answerEvents(CostKey key, Instant now) {
        return mAnswers.find(key, now);
    }

    /** Returns the number of kinds of requests with samples. */
    public int keys() {
        return mTimes.size();
    }
}
