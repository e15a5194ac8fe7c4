package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.InstanceId;
import java.util.Comparator;

/**
 * Chooses the engines whose load a daemon reads in the background and from which it draws random
 * candidates. The number is bounded, so that the reports stay fresh at a fixed rate of reads
 * however large the fleet is; each daemon has its own part of the fleet.
 */
public final class WatchedEngines {
    /** Most engines that a daemon watches. */
    public static final int MAX_WATCHED = 32;

    private WatchedEngines() {}

    /** Returns the engines that a daemon watches: all of a small fleet, else its own part. */
    public static ImmutableList<Endpoint> of(InstanceId self, ImmutableList<Endpoint> engines) {
        if (engines.size() <= MAX_WATCHED) {
            return engines;
        }
        long salt = Mixing.hash(self.value());
        return engines.stream()
                .sorted(
                        Comparator.comparingLong(
                                e -> Mixing.mix(Mixing.hash(e.id().value()), salt)))
                .limit(MAX_WATCHED)
                .collect(ImmutableList.toImmutableList());
    }
}
