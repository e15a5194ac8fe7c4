package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.LanePlan;

/**
 * Division of the engines of one model: those that a daemon watches, those that take long work and
 * those kept free of it. It depends only on the configuration and the lanes, so it is computed once
 * for many decisions.
 *
 * @param engines the engines in an order that is the same on all daemons
 * @param watched the engines whose load reports this daemon keeps up to date
 * @param freeEngines the watched engines that are kept free of long work; empty if long work isn't
 *     confined
 * @param longEngines the engines that long work is confined to, or all engines if it isn't confined
 * @param preferred the preferred engines of a prefix, by position in {@code engines}
 * @param lanes division of requests into lanes
 * @param largestMemoryTokens KV memory of the largest engine in tokens
 */
public record FleetLayout(
        ImmutableList<Endpoint> engines,
        ImmutableList<Endpoint> watched,
        ImmutableList<Endpoint> freeEngines,
        ImmutableList<Endpoint> longEngines,
        RendezvousTable preferred,
        LanePlan lanes,
        long largestMemoryTokens) {

    /** Returns the layout of the given engines. */
    public static FleetLayout of(
            ImmutableList<Endpoint> engines, ImmutableList<Endpoint> watched, LanePlan lanes) {
        long largest = engines.stream().mapToLong(Endpoint::memoryTokens).max().orElse(0);
        RendezvousTable preferred = new RendezvousTable(engines);
        return create(engines, watched, preferred, lanes, largest);
    }

    /** Returns the layout of the same engines with other lanes. */
    public FleetLayout with(LanePlan other) {
        return create(engines, watched, preferred, other, largestMemoryTokens);
    }

    private static FleetLayout create(
            ImmutableList<Endpoint> engines,
            ImmutableList<Endpoint> watched,
            RendezvousTable preferred,
            LanePlan lanes,
            long largest) {
        ImmutableSet<EndpointId> confinedTo = lanes.longEngines();
        boolean confined = !confinedTo.isEmpty();
        return new FleetLayout(
                engines,
                watched,
                confined ? filter(watched, confinedTo, false) : ImmutableList.of(),
                confined ? filter(engines, confinedTo, true) : engines,
                preferred,
                lanes,
                largest);
    }

    private static ImmutableList<Endpoint> filter(
            ImmutableList<Endpoint> engines, ImmutableSet<EndpointId> ids, boolean included) {
        return engines.stream()
                .filter(e -> ids.contains(e.id()) == included)
                .collect(ImmutableList.toImmutableList());
    }
}
