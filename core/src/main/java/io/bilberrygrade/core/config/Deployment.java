package io.bilberrygrade.core.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.identity.WorkClassId;
import java.util.Optional;

/**
 * One version of the published configuration, validated and ready for use. {@code teams} is keyed
 * by the digest of the team's credential; {@code weightReadsPerSecond} is the weight store's rate
 * limit over the whole fleet.
 */
public record Deployment(
        long version,
        ImmutableMap<WorkClassId, WorkClass> classes,
        ImmutableMap<String, Team> teams,
        ImmutableMap<ModelId, Model> models,
        ImmutableMap<EndpointId, Endpoint> endpoints,
        double weightReadsPerSecond) {
    /** Rate limit of the weight store where none is published. */
    public static final double DEFAULT_WEIGHT_READS_PER_SECOND = 1;

    /** Configuration of a daemon that has not read any version yet. */
    public static final Deployment EMPTY =
            new Deployment(
                    0, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());

    /** Creates a configuration without a published rate limit of the weight store. */
    public Deployment(
            long version,
            ImmutableMap<WorkClassId, WorkClass> classes,
            ImmutableMap<String, Team> teams,
            ImmutableMap<ModelId, Model> models,
            ImmutableMap<EndpointId, Endpoint> endpoints) {
        this(version, classes, teams, models, endpoints, DEFAULT_WEIGHT_READS_PER_SECOND);
    }

    /** Returns the team whose credential has the given SHA-256 digest in hexadecimal. */
    public Optional<Team> teamByCredentialDigest(String digest) {
        return Optional.ofNullable(teams.get(digest));
    }

    /** Returns the engines that serve a model. */
    public ImmutableList<Endpoint> enginesOf(ModelId model) {
        return endpoints.values().stream()
                .filter(
                        e ->
                                e.kind() instanceof EndpointKind.Engine g
                                        && g.models().contains(model))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the instances of a plain service. */
    public ImmutableList<Endpoint> instancesOf(ServiceId service) {
        return endpoints.values().stream()
                .filter(
                        e ->
                                e.kind() instanceof EndpointKind.Service s
                                        && s.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the sets of interchangeable endpoints: those of one model or one service. */
    public ImmutableList<ImmutableSet<EndpointId>> pools() {
        ImmutableSetMultimap.Builder<Identifier, EndpointId> pools = ImmutableSetMultimap.builder();
        for (Endpoint endpoint : endpoints.values()) {
            switch (endpoint.kind()) {
                case EndpointKind.Engine e -> e.models().forEach(m -> pools.put(m, endpoint.id()));
                case EndpointKind.Service s -> pools.put(s.service(), endpoint.id());
            }
        }
        return pools.build().asMap().values().stream()
                .map(ImmutableSet::copyOf)
                .collect(ImmutableList.toImmutableList());
    }
}
