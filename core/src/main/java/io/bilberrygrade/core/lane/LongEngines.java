package io.bilberrygrade.core.lane;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.routing.StableHash;
import java.util.Comparator;

/**
 * Selects the engines of the long lane: the data centres take turns, and each contributes its
 * engines in rendezvous order. Daemons with different lane sizes therefore select nested sets.
 */
public final class LongEngines {
    private static final long SALT = StableHash.hash("long lane");
    private static final int FREE_ENGINE_DIVISOR = 4;

    private LongEngines() {}

    /** Returns the maximum number of engines for long work; some of each data centre stay free. */
    public static int most(ImmutableList<Endpoint> engines) {
        return byDataCentre(engines).asMap().values().stream()
                .mapToInt(e -> maxInDataCentre(e.size()))
                .sum();
    }

    /** Returns the engines of a long lane of the given size, spread over the data centres. */
    public static ImmutableSet<EndpointId> choose(ImmutableList<Endpoint> engines, int count) {
        ImmutableListMultimap<DataCentreId, Endpoint> centres = byDataCentre(engines);
        ImmutableSet.Builder<EndpointId> chosen = ImmutableSet.builder();
        int remaining = count;
        for (int round = 0; remaining > 0 && round < engines.size(); round++) {
            for (DataCentreId centre : centres.keySet()) {
                ImmutableList<Endpoint> members = centres.get(centre);
                if (remaining > 0 && round < maxInDataCentre(members.size())) {
                    chosen.add(members.get(round).id());
                    remaining--;
                }
            }
        }
        return chosen.build();
    }

    private static int maxInDataCentre(int engines) {
        return engines == 1 ? 1 : engines - Math.max(1, engines / FREE_ENGINE_DIVISOR);
    }

    private static ImmutableListMultimap<DataCentreId, Endpoint> byDataCentre(
            ImmutableList<Endpoint> engines) {
        Comparator<Endpoint> order = Comparator.comparingLong(LongEngines::rank);
        return Multimaps.index(
                engines.stream().sorted(order.thenComparing(e -> e.id().value())).toList(),
                Endpoint::dataCentre);
    }

    private static long rank(Endpoint engine) {
        return StableHash.mix(StableHash.hash(engine.id().value()), SALT);
    }
}
