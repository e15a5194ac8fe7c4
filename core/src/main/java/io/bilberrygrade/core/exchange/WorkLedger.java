package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Outstanding work of all daemons at each endpoint: this daemon's own, updated as requests start
 * and end, and the others' from the sums that it received.
 */
public final class WorkLedger {
    private final Map<EndpointId, EndpointWork> mOwn = new HashMap<>();
    private final ReceivedSums mReceived = new ReceivedSums();

    /** Returns the sums of all daemons' work that were received. */
    public ReceivedSums receivedSums() {
        return mReceived;
    }

    /** Adds work of this daemon; work that has ended is added with negative sign. */
    public void add(EndpointId endpoint, EndpointWork change) {
        EndpointWork sum = mOwn.getOrDefault(endpoint, EndpointWork.NONE).plus(change);
        if (sum.equals(EndpointWork.NONE)) {
            mOwn.remove(endpoint);
        } else {
            mOwn.put(endpoint, sum);
        }
    }

    /** Replaces the earlier work of an attempt at each endpoint by its current work. */
    public void replace(
            ImmutableMap<EndpointId, EndpointWork> earlier,
            ImmutableMap<EndpointId, EndpointWork> work) {
        earlier.forEach((endpoint, w) -> add(endpoint, w.negated()));
        work.forEach(this::add);
    }

    /** Returns this daemon's own work. */
    public ImmutableMap<EndpointId, EndpointWork> ownWork() {
        return ImmutableMap.copyOf(mOwn);
    }

    /** Returns the outstanding work of all daemons at an endpoint. */
    public EndpointWork of(EndpointId endpoint, Instant now) {
        EndpointWork others = mReceived.others(endpoint, now);
        EndpointWork own = mOwn.get(endpoint);
        return own == null ? others : own.plus(others);
    }
}
