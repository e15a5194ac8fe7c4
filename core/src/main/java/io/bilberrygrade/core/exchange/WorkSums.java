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
 * Work of all daemons at each endpoint, summed up by one of them from the statements of all. Each
 * change gets a number, so that a daemon is told only what has changed since it last asked.
 */
public final class WorkSums {
    /** Age at which a statement says nothing any more; its daemon has gone or is cut off. */
    private static final Duration LIFETIME = Duration.ofSeconds(2);

    /** Endpoints without work that are remembered, so that daemons hear that it has ended. */
    private static final int MAX_EMPTY = 1_024;

    private final Map<EndpointId, Sum> mSums = new HashMap<>();

    /** The daemon that was heard last comes last. */
    private final Map<Address, Statement> mStatements = new LinkedHashMap<>();

    private long mVersion;
    private long mWholeBelow;
    private int mEmpty;

    /** Takes over what a daemon says of its work, in place of what it said before. */
    public void stated(Address daemon, ImmutableMap<EndpointId, EndpointWork> work, Instant now) {
        Statement earlier = mStatements.remove(daemon);
        ImmutableMap<EndpointId, EndpointWork> before =
                earlier == null ? ImmutableMap.of() : earlier.work();
        mStatements.put(daemon, new Statement(work, now));
        replace(before, work);
        forgetOld(now);
    }

    /** Returns the number of daemons whose statements count. */
    public int daemons(Instant now) {
        forgetOld(now);
        return mStatements.size();
    }

    /**
     * Returns what has changed after the given version, or all if that is unknown or too long ago.
     */
    public Update since(long version, Instant now) {
        forgetOld(now);
        boolean whole = version < mWholeBelow || version > mVersion || version == 0;
        ImmutableMap.Builder<EndpointId, EndpointWork> changes = ImmutableMap.builder();
        mSums.forEach(
                (endpoint, sum) -> {
                    if (whole ? !sum.work().equals(EndpointWork.NONE) : sum.version() > version) {
                        changes.put(endpoint, sum.work());
                    }
                });
        return new Update(mVersion, whole, changes.buildOrThrow());
    }

    private void forgetOld(Instant now) {
        Iterator<Statement> oldestFirst = mStatements.values().iterator();
        while (oldestFirst.hasNext()) {
            Statement statement = oldestFirst.next();
            if (Duration.between(statement.heardAt(), now).compareTo(LIFETIME) < 0) {
                return;
            }
            oldestFirst.remove();
            replace(statement.work(), ImmutableMap.of());
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
        if (mEmpty > MAX_EMPTY) {
            mSums.values().removeIf(s -> s.work().equals(EndpointWork.NONE));
            mEmpty = 0;
            mWholeBelow = mVersion;
        }
    }

    private void add(EndpointId endpoint, EndpointWork change) {
        EndpointWork before = mSums.getOrDefault(endpoint, Sum.ZERO).work();
        EndpointWork after = before.plus(change);
        mEmpty += after.equals(EndpointWork.NONE) ? 1 : 0;
        mEmpty -= mSums.containsKey(endpoint) && before.equals(EndpointWork.NONE) ? 1 : 0;
        mSums.put(endpoint, new Sum(after, ++mVersion));
    }

    /**
     * Changed sums.
     *
     * @param version number of the last change that counts in
     * @param whole whether endpoints that aren't named have no work, rather than as much as before
     */
    public record Update(
            long version, boolean whole, ImmutableMap<EndpointId, EndpointWork> sums) {}

    private record Sum(EndpointWork work, long version) {
        private static final Sum ZERO = new Sum(EndpointWork.NONE, 0);
    }

    private record Statement(ImmutableMap<EndpointId, EndpointWork> work, Instant heardAt) {}
}
