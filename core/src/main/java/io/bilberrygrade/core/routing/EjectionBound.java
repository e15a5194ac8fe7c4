package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.Map;

/**
 * Bounds how many endpoints of a pool, such as a model's engines, may be ejected at once. When more
 * than that fail, the fault is likely to lie on the way to them or in the load, and sending
 * everything to the few that are left would bring these down as well.
 */
public final class EjectionBound {
    /** Largest part of a pool that may be ejected. */
    public static final double MAX_EJECTED = 0.5;

    private EjectionBound() {}

    /**
     * Returns the endpoints of a pool that stay ejected; those ejected the longest have the first
     * right to be used again.
     */
    public static ImmutableSet<EndpointId> ejected(
            ImmutableMap<EndpointId, EndpointHealth> failing, ImmutableSet<EndpointId> pool) {
        long most = (long) Math.floor(pool.size() * MAX_EJECTED);
        return failing.entrySet().stream()
                .filter(e -> pool.contains(e.getKey()))
                .sorted(
                        Comparator.comparing(
                                (Map.Entry<EndpointId, EndpointHealth> e) ->
                                        e.getValue().heldUntil(),
                                Comparator.reverseOrder()))
                .limit(most)
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }
}
