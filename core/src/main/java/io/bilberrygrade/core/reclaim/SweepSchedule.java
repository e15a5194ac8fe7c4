package io.bilberrygrade.core.reclaim;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Selects the engines that a daemon checks in a round. All daemons together check each engine about
 * twice per round, each in its own order, so that a daemon's calls stay few in a large fleet and no
 * engine depends on a single daemon.
 */
public final class SweepSchedule {
    private static final int CHECKS_PER_ENGINE = 2;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private SweepSchedule() {}

    /** Returns the engines to check in a round; {@code daemons} is the number of live daemons. */
    public static ImmutableList<EndpointId> round(
            Collection<EndpointId> engines, InstanceId self, int daemons, long round) {
        ImmutableList<EndpointId> order =
                engines.stream()
                        .sorted(
                                Comparator.comparingLong((EndpointId e) -> rank(self, e))
                                        .thenComparing(EndpointId::value))
                        .collect(ImmutableList.toImmutableList());
        int quota = Math.ceilDiv(order.size() * CHECKS_PER_ENGINE, Math.max(1, daemons));
        int count = Math.min(quota, order.size());
        ImmutableList.Builder<EndpointId> chosen = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            chosen.add(order.get((int) Math.floorMod(round * count + i, (long) order.size())));
        }
        return chosen.build();
    }

    private static long rank(InstanceId self, EndpointId engine) {
        return HASH.newHasher()
                .putString(self.value(), StandardCharsets.UTF_8)
                .putChar('/')
                .putString(engine.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
