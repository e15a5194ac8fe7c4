package io.bilberrygrade.core.gang;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.RequestId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Engines that a steward has granted to gangs, each until a time. A grant keeps gangs from taking
 * each other's engines one by one; it protects nothing, the engines' reservations do that.
 */
public record GangLeases(ImmutableMap<EndpointId, Lease> leases) {
    /** Leases of a steward that has granted nothing. */
    public static final GangLeases NONE = new GangLeases(ImmutableMap.of());

    /** Grant of one engine to the gang of a request. */
    public record Lease(RequestId request, Instant until) {}

    /** Returns the engines among the given ones that other gangs hold. */
    public ImmutableSet<EndpointId> busy(
            RequestId request, ImmutableSet<EndpointId> engines, Instant now) {
        return engines.stream()
                .filter(e -> heldByOther(request, e, now))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the leases with all engines granted, or empty when any of them is held. */
    public Optional<GangLeases> grant(
            RequestId request, ImmutableSet<EndpointId> engines, Duration lifetime, Instant now) {
        if (!busy(request, engines, now).isEmpty()) {
            return Optional.empty();
        }
        ImmutableMap.Builder<EndpointId, Lease> kept = ImmutableMap.builder();
        current(now).forEach(kept::put);
        engines.forEach(e -> kept.put(e, new Lease(request, now.plus(lifetime))));
        return Optional.of(new GangLeases(kept.buildKeepingLast()));
    }

    /** Returns the leases without those of a request. */
    public GangLeases release(RequestId request, Instant now) {
        return new GangLeases(
                current(now).entrySet().stream()
                        .filter(e -> !e.getValue().request().equals(request))
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        Map.Entry::getKey, Map.Entry::getValue)));
    }

    private ImmutableMap<EndpointId, Lease> current(Instant now) {
        return leases.entrySet().stream()
                .filter(e -> e.getValue().until().isAfter(now))
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private boolean heldByOther(RequestId request, EndpointId engine, Instant now) {
        return Optional.ofNullable(leases.get(engine))
                .filter(l -> l.until().isAfter(now) && !l.request().equals(request))
                .isPresent();
    }
}
