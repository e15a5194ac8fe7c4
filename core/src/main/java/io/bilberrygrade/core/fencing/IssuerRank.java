package io.bilberrygrade.core.fencing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the daemon that issues orders to an engine: the first live one in rendezvous order over
 * the published instances. Two daemons may both act as the issuer while their views of liveness
 * differ; this is harmless, since the engine checks the fencing token or the orders are the same.
 */
public final class IssuerRank {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private IssuerRank() {}

    /** Returns the issuer, or empty when no published instance is alive. */
    public static Optional<InstanceId> issuer(
            EndpointId engine, Collection<InstanceId> published, Predicate<InstanceId> alive) {
        return published.stream()
                .filter(alive)
                .max(
                        Comparator.comparingLong((InstanceId i) -> weight(engine, i))
                                .thenComparing(InstanceId::value));
    }

    private static long weight(EndpointId engine, InstanceId instance) {
        return HASH.newHasher()
                .putString(engine.value(), StandardCharsets.UTF_8)
                .putChar('/')
                .putString(instance.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
