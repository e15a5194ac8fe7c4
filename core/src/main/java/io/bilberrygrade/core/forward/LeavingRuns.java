package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Endpoint runs that have asked for no new work. The request can't be withdrawn, whatever a stale
 * read of the published state shows later; only the endpoint's next run is eligible again.
 */
public final class LeavingRuns {
    /** Maximum number of runs kept; a few hundred endpoints are replaced a few times a day. */
    static final int MAX_RUNS = 4_096;

    /** Maximum number of runs sent to a peer that has none yet. */
    static final int MAX_SENT_TO_NEW_PEER = 256;

    /** Time for which a run is included in messages to peers, which are some tenths of it apart. */
    private static final Duration SHARE_TIME = Duration.ofSeconds(4);

    /** In order of recording, latest last. */
    private final Map<EndpointRun, Instant> mRecordedAt = new LinkedHashMap<>();

    /** Records a run; returns whether it wasn't recorded before. */
    public boolean add(EndpointRun run, Instant now) {
        if (mRecordedAt.putIfAbsent(run, now) != null) {
            return false;
        }
        if (mRecordedAt.size() > MAX_RUNS) {
            Iterator<EndpointRun> oldest = mRecordedAt.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** Returns whether the run has asked for no new work. */
    public boolean contains(EndpointRun run) {
        return mRecordedAt.containsKey(run);
    }

    /** Returns the runs that peers may not have received yet. */
    public ImmutableList<EndpointRun> recentRuns(Instant now) {
        Instant since = now.minus(SHARE_TIME);
        return mRecordedAt.entrySet().stream()
                .filter(e -> e.getValue().isAfter(since))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the runs that were recorded last, for a peer that has none yet. */
    public ImmutableList<EndpointRun> latestRuns() {
        return mRecordedAt.keySet().stream()
                .skip(Math.max(0, mRecordedAt.size() - MAX_SENT_TO_NEW_PEER))
                .collect(ImmutableList.toImmutableList());
    }
}
