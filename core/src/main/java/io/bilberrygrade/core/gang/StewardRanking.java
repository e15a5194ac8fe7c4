package io.bilberrygrade.core.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.routing.StableHash;
import java.util.Comparator;

/**
 * Ranks the daemons as stewards of a model's gangs in a data centre, by rendezvous hashing. A
 * daemon that can't reach the first steward asks the next one, so that no election is needed.
 */
public final class StewardRanking {
    private StewardRanking() {}

    /** Returns the live instances, the steward first. */
    public static ImmutableList<InstanceId> of(
            ModelId model, DataCentreId dataCentre, ImmutableSet<InstanceId> live) {
        long key =
                StableHash.mix(StableHash.hash(model.value()), StableHash.hash(dataCentre.value()));
        return live.stream()
                .sorted(
                        Comparator.<InstanceId>comparingLong(
                                        i -> StableHash.mix(StableHash.hash(i.value()), key))
                                .reversed()
                                .thenComparing(InstanceId::value))
                .collect(ImmutableList.toImmutableList());
    }
}
