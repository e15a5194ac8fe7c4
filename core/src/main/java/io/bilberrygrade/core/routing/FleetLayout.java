package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.LanePlan;

/**
 * How the engines of one model are divided at a moment: which of them a daemon watches, which take
 * long work and which stay free of it. It is worked out once for many decisions, since it follows
 * from the configuration and from the lanes alone.
 *
 * @param engines the engines in an order that is the same on all daemons
 * @param watched the engines of which this daemon keeps fresh reports
 * @param freeEngines the watched engines that are kept free of long work; none if it isn't confined
 * @param longEngines the engines that long work is confined to, or all when it is not confined
 * @param preferred the preferred engines of a prefix, by position in {@code engines}
 * @param lanes how requests are divided into lanes
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
        return divided(engines, watched, preferred, lanes, largest);
    }

    /** Returns the same engines, divided by other lanes. */
    public FleetLayout with(LanePlan other) {
        return divided(engines, watched, preferred, other, largestMemoryTokens);
    }

    private static FleetLayout divided(
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
                confined ? chosen(watched, confinedTo, false) : ImmutableList.of(),
                confined ? chosen(engines, confinedTo, true) : engines,
                preferred,
                lanes,
                largest);
    }

    private static ImmutableList<Endpoint> chosen(
            ImmutableList<Endpoint> engines, ImmutableSet<EndpointId> ids, boolean contained) {
        return engines.stream()
                .filter(e -> ids.contains(e.id()) == contained)
                .collect(ImmutableList.toImmutableList());
    }
}
