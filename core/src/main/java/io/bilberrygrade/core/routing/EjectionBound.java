package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.Map;

/**
 * Bounds how many endpoints of a pool, such as a model's engines, may be ejected at once. If more
 * fail, the cause is probably the network to them or the load, and routing all requests to the few
 * that are left would overload these as well.
 */
public final class EjectionBound {
    /** Maximum fraction of a pool that may be ejected. */
    public static final double MAX_EJECTED = 0.5;

    private EjectionBound() {}

    /**
     * Returns the endpoints of a pool that stay ejected; those whose ejection ends first are
     * readmitted first if more than the maximum fail.
     */
    public static ImmutableSet<EndpointId> ejected(
            ImmutableMap<EndpointId, EndpointHealth> failing, ImmutableSet<EndpointId> pool) {
        long max = (long) Math.floor(pool.size() * MAX_EJECTED);
        return failing.entrySet().stream()
                .filter(e -> pool.contains(e.getKey()))
                .sorted(
                        Comparator.comparing(
                                (Map.Entry<EndpointId, EndpointHealth> e) ->
                                        e.getValue().ejectedUntil(),
                                Comparator.reverseOrder()))
                .limit(max)
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }
}
