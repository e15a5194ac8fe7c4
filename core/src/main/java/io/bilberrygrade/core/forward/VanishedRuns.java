package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs of endpoints whose entries vanished. A store that comes back from an older copy shows such
 * entries again, although their endpoints have gone; only one that is written again is alive.
 */
final class VanishedRuns {
    /** Runs that are remembered; a release replaces some hundred endpoints within a minute. */
    static final int MAX_RUNS = 4_096;

    /**
     * Time after the store's return for which entries of a copy aren't believed. An entry that
     * nobody writes lapses after three heartbeats, which are some seconds.
     */
    static final Duration COPY_LASTS = Duration.ofSeconds(10);

    private final Map<EndpointRun, Instant> mVanishedAt = new LinkedHashMap<>();
    private Instant mCopyFrom = Instant.MIN;

    /** Takes note that a run's entry has vanished. */
    void vanished(EndpointRun run, Instant now) {
        mVanishedAt.put(run, now);
        if (mVanishedAt.size() > MAX_RUNS) {
            mVanishedAt.remove(mVanishedAt.keySet().iterator().next());
        }
    }

    /** Takes note that a run's entry was written. */
    void written(EndpointRun run) {
        mVanishedAt.remove(run);
    }

    /** States that the store shows an older copy from now on. */
    void copyShown(Instant now) {
        mCopyFrom = now;
    }

    /** Returns whether a run's entry comes from the copy only and had vanished before. */
    boolean onlyInCopy(EndpointRun run, Instant now) {
        Instant vanishedAt = mVanishedAt.get(run);
        return vanishedAt != null
                && !vanishedAt.isAfter(mCopyFrom)
                && now.isBefore(mCopyFrom.plus(COPY_LASTS));
    }
}
