package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Work that the daemons have sent to each endpoint: this one's own, counted as it comes and goes,
 * and what it has heard of the others'.
 */
public final class WorkLedger {
    private final Map<EndpointId, EndpointWork> mOwn = new HashMap<>();
    private final HeardSums mHeard = new HeardSums();

    /** Returns what was heard of all daemons' work. */
    public HeardSums heard() {
        return mHeard;
    }

    /** Adds work of this daemon; a part that was read or has ended is added as a negative. */
    public void add(EndpointId endpoint, EndpointWork change) {
        EndpointWork sum = mOwn.getOrDefault(endpoint, EndpointWork.NONE).plus(change);
        if (sum.equals(EndpointWork.NONE)) {
            mOwn.remove(endpoint);
        } else {
            mOwn.put(endpoint, sum);
        }
    }

    /** Counts what a sending is for each endpoint now, in place of what it was before. */
    public void replace(
            ImmutableMap<EndpointId, EndpointWork> earlier,
            ImmutableMap<EndpointId, EndpointWork> work) {
        earlier.forEach((endpoint, w) -> add(endpoint, w.negated()));
        work.forEach(this::add);
    }

    /** Returns this daemon's own work. */
    public ImmutableMap<EndpointId, EndpointWork> own() {
        return ImmutableMap.copyOf(mOwn);
    }

    /** Returns all work that is known of an endpoint. */
    public EndpointWork of(EndpointId endpoint, Instant now) {
        EndpointWork others = mHeard.others(endpoint, now);
        EndpointWork own = mOwn.get(endpoint);
        return own == null ? others : own.plus(others);
    }
}
