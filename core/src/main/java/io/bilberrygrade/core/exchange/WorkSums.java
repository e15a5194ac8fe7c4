package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Work of all daemons at each endpoint, as summed up by the aggregator from the daemons' reports.
 * Each change has a version, so that a daemon gets only the changes since its last request.
 */
public final class WorkSums {
    /** Age at which a report expires; its daemon has failed or is cut off. */
    private static final Duration LIFETIME = Duration.ofSeconds(2);

    /** Maximum number of empty sums kept so that daemons learn that the work has ended. */
    private static final int MAX_EMPTY_SUMS = 1_024;

    private final Map<EndpointId, Sum> mSums = new HashMap<>();

    /** Ordered by time of the report, latest last. */
    private final Map<Address, Report> mReports = new LinkedHashMap<>();

    private long mVersion;
    private long mOldestDeltaVersion;
    private int mEmptyCount;

    /** Replaces the reported work of a daemon. */
    public void recordReport(
            Address daemon, ImmutableMap<EndpointId, EndpointWork> work, Instant now) {
        Report earlier = mReports.remove(daemon);
        ImmutableMap<EndpointId, EndpointWork> before =
                earlier == null ? ImmutableMap.of() : earlier.work();
        mReports.put(daemon, new Report(work, now));
        replace(before, work);
        removeExpired(now);
    }

    /** Returns the number of daemons with an unexpired report. */
    public int daemons(Instant now) {
        removeExpired(now);
        return mReports.size();
    }

    /**
     * Returns the changes after the given version, or all sums if the version is unknown or too
     * old.
     */
    public Update since(long version, Instant now) {
        removeExpired(now);
        boolean whole = version < mOldestDeltaVersion || version > mVersion || version == 0;
        ImmutableMap.Builder<EndpointId, EndpointWork> changes = ImmutableMap.builder();
        mSums.forEach(
                (endpoint, sum) -> {
                    if (whole ? !sum.work().equals(EndpointWork.NONE) : sum.version() > version) {
                        changes.put(endpoint, sum.work());
                    }
                });
        return new Update(mVersion, whole, changes.buildOrThrow());
    }

    private void removeExpired(Instant now) {
        Iterator<Report> oldestFirst = mReports.values().iterator();
        while (oldestFirst.hasNext()) {
            Report report = oldestFirst.next();
            if (Duration.between(report.receivedAt(), now).compareTo(LIFETIME) < 0) {
                return;
            }
            oldestFirst.remove();
            replace(report.work(), ImmutableMap.of());
        }
    }

    private void replace(
            ImmutableMap<EndpointId, EndpointWork> before,
            ImmutableMap<EndpointId, EndpointWork> after) {
        for (EndpointId endpoint : Sets.union(before.keySet(), after.keySet())) {
            EndpointWork old = before.getOrDefault(endpoint, EndpointWork.NONE);
            EndpointWork current = after.getOrDefault(endpoint, EndpointWork.NONE);
            if (!old.equals(current)) {
                add(endpoint, current.plus(old.negated()));
            }
        }
        if (mEmptyCount > MAX_EMPTY_SUMS) {
            mSums.values().removeIf(s -> s.work().equals(EndpointWork.NONE));
            mEmptyCount = 0;
            mOldestDeltaVersion = mVersion;
        }
    }

    private void add(EndpointId endpoint, EndpointWork change) {
        EndpointWork before = mSums.getOrDefault(endpoint, Sum.ZERO).work();
        EndpointWork after = before.plus(change);
        mEmptyCount += after.equals(EndpointWork.NONE) ? 1 : 0;
        mEmptyCount -= mSums.containsKey(endpoint) && before.equals(EndpointWork.NONE) ? 1 : 0;
        mSums.put(endpoint, new Sum(after, ++mVersion));
    }

    /**
     * Sums sent to a daemon: a delta or all of them.
     *
     * @param version version of the last change that is included
     * @param whole whether endpoints that aren't listed have no work, rather than unchanged work
     */
    public record Update(
            long version, boolean whole, ImmutableMap<EndpointId, EndpointWork> sums) {}

    private record Sum(EndpointWork work, long version) {
        private static final Sum ZERO = new Sum(EndpointWork.NONE, 0);
    }

    private record Report(ImmutableMap<EndpointId, EndpointWork> work, Instant receivedAt) {}
}
