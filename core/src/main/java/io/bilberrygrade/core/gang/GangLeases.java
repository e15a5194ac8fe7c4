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
 * Leases of engines that a steward has granted to gangs. They keep gangs from taking each other's
 * engines one by one; they don't protect the engines' memory, which the engines' own reservations
 * do.
 */
public record GangLeases(ImmutableMap<EndpointId, Lease> leases) {
    /** Leases of a steward that has granted nothing. */
    public static final GangLeases NONE = new GangLeases(ImmutableMap.of());

    /** Lease of one engine for the gang of a request. */
    public record Lease(RequestId request, Instant expiresAt) {}

    /** Returns those of the given engines that are leased to other gangs. */
    public ImmutableSet<EndpointId> busy(
            RequestId request, ImmutableSet<EndpointId> engines, Instant now) {
        return engines.stream()
                .filter(e -> isHeldByOther(request, e, now))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the leases with all given engines granted, or empty when another gang holds any of
     * them.
     */
    public Optional<GangLeases> grant(
            RequestId request, ImmutableSet<EndpointId> engines, Duration lifetime, Instant now) {
        if (!busy(request, engines, now).isEmpty()) {
            return Optional.empty();
        }
        ImmutableMap.Builder<EndpointId, Lease> granted = ImmutableMap.builder();
        unexpired(now).forEach(granted::put);
        engines.forEach(e -> granted.put(e, new Lease(request, now.plus(lifetime))));
        return Optional.of(new GangLeases(granted.buildKeepingLast()));
    }

    /** Returns the leases without those of a request. */
    public GangLeases release(RequestId request, Instant now) {
        return new GangLeases(
                unexpired(now).entrySet().stream()
                        .filter(e -> !e.getValue().request().equals(request))
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        Map.Entry::getKey, Map.Entry::getValue)));
    }

    private ImmutableMap<EndpointId, Lease> unexpired(Instant now) {
        return leases.entrySet().stream()
                .filter(e -> e.getValue().expiresAt().isAfter(now))
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private boolean isHeldByOther(RequestId request, EndpointId engine, Instant now) {
        return Optional.ofNullable(leases.get(engine))
                .filter(l -> l.expiresAt().isAfter(now) && !l.request().equals(request))
                .isPresent();
    }
}
