package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs of endpoints that have asked for no new work. An endpoint doesn't take that back, whatever a
 * stale reading of the published state says later; only its next run gets work again.
 */
public final class LeavingRuns {
    /** Runs that are remembered; some hundred endpoints are replaced a few times a day. */
    static final int MAX_RUNS = 4_096;

    /** Runs that a peer is told of which knows none. */
    static final int MAX_TOLD = 256;

    /** Time for which a run is news to peers; statements to them are some tenths of it apart. */
    private static final Duration NEWS = Duration.ofSeconds(4);

    /** The run that was learnt last comes last. */
    private final Map<EndpointRun, Instant> mLearntAt = new LinkedHashMap<>();

    /** Takes note of a run; returns whether that is new. */
    public boolean add(EndpointRun run, Instant now) {
        if (mLearntAt.putIfAbsent(run, now) != null) {
            return false;
        }
        if (mLearntAt.size() > MAX_RUNS) {
            Iterator<EndpointRun> oldest = mLearntAt.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** Returns whether the run has asked for no new work. */
    public boolean contains(EndpointRun run) {
        return mLearntAt.containsKey(run);
    }

    /** Returns the runs that peers may not have heard of yet. */
    public ImmutableList<EndpointRun> news(Instant now) {
        Instant since = now.minus(NEWS);
        return mLearntAt.entrySet().stream()
                .filter(e -> e.getValue().isAfter(since))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the runs that were learnt last, for a peer that knows none. */
    public ImmutableList<EndpointRun> newest() {
        return mLearntAt.keySet().stream()
                .skip(Math.max(0, mLearntAt.size() - MAX_TOLD))
                .collect(ImmutableList.toImmutableList());
    }
}
