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
 * Chooses which engines a daemon looks at in a round. All daemons together look at each engine
 * about twice a round, each in an order of its own, so that a daemon's calls stay few in a large
 * fleet and no engine depends on one daemon.
 */
public final class SweepSchedule {
    private static final int LOOKS_PER_ENGINE = 2;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private SweepSchedule() {}

    /** Returns the engines to look at in a round; {@code daemons} counts the live ones. */
    public static ImmutableList<EndpointId> round(
            Collection<EndpointId> engines, InstanceId self, int daemons, long round) {
        ImmutableList<EndpointId> order =
                engines.stream()
                        .sorted(
                                Comparator.comparingLong((EndpointId e) -> rank(self, e))
                                        .thenComparing(EndpointId::value))
                        .collect(ImmutableList.toImmutableList());
        int share = Math.ceilDiv(order.size() * LOOKS_PER_ENGINE, Math.max(1, daemons));
        int count = Math.min(share, order.size());
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
