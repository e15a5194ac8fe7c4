package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.InstanceId;
import java.util.Comparator;

/**
 * Selects the engines whose load a daemon polls in the background and from which it draws random
 * candidates. The number is bounded, so that the reports stay fresh at a fixed polling rate in a
 * fleet of any size; each daemon watches a different subset.
 */
public final class WatchedEngines {
    /** Maximum number of engines that a daemon watches. */
    public static final int MAX_WATCHED = 32;

    private WatchedEngines() {}

    /**
     * Returns the engines that a daemon watches: all of a small fleet, otherwise a subset that
     * depends on its id.
     */
    public static ImmutableList<Endpoint> of(InstanceId self, ImmutableList<Endpoint> engines) {
        if (engines.size() <= MAX_WATCHED) {
            return engines;
        }
        long salt = StableHash.hash(self.value());
        return engines.stream()
                .sorted(
                        Comparator.comparingLong(
                                e -> StableHash.mix(StableHash.hash(e.id().value()), salt)))
                .limit(MAX_WATCHED)
                .collect(ImmutableList.toImmutableList());
    }
}
