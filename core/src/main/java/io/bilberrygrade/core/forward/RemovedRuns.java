package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Endpoint runs whose entries were removed. A store that is restored from an older copy shows such
 * entries again although their endpoints have stopped; only an entry that is written again is
 * valid.
 */
final class RemovedRuns {
    /** Maximum number of runs kept; a release replaces some hundred endpoints within a minute. */
    static final int MAX_RUNS = 4_096;

    /**
     * Time after a restore for which reappearing entries are ignored. An entry that isn't renewed
     * expires after three heartbeats, which are some seconds.
     */
    static final Duration STALE_ENTRY_TIME = Duration.ofSeconds(10);

    private final Map<EndpointRun, Instant> mRemovedAt = new LinkedHashMap<>();
    private Instant mRestoredAt = Instant.MIN;

    /** Records that a run's entry was removed. */
    void recordRemoved(EndpointRun run, Instant now) {
        mRemovedAt.put(run, now);
        if (mRemovedAt.size() > MAX_RUNS) {
            mRemovedAt.remove(mRemovedAt.keySet().iterator().next());
        }
    }

    /** Records that a run's entry was written. */
    void recordWritten(EndpointRun run) {
        mRemovedAt.remove(run);
    }

    /** Records that the store has been restored from an older copy. */
    void recordRestore(Instant now) {
        mRestoredAt = now;
    }

    /**
     * Returns whether a run's entry had been removed before the restore and has only reappeared
     * with the older copy.
     */
    boolean isStale(EndpointRun run, Instant now) {
        Instant removedAt = mRemovedAt.get(run);
        return removedAt != null
                && !removedAt.isAfter(mRestoredAt)
                && now.isBefore(mRestoredAt.plus(STALE_ENTRY_TIME));
    }
}
