package io.bilberrygrade.serving.platform;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.Model;
import io.bilberrygrade.core.config.Team;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.platform.DeploymentDocuments.ClassDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Classes;
import io.bilberrygrade.serving.platform.DeploymentDocuments.EndpointDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Endpoints;
import io.bilberrygrade.serving.platform.DeploymentDocuments.ModelDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Models;
import io.bilberrygrade.serving.platform.DeploymentDocuments.TeamDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Teams;
import io.bilberrygrade.serving.settings.Units;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Turns the published parts into a checked {@link Deployment}, gathering all faults. */
public final class DeploymentParser {
    private static final String TEAMS_PREFIX = "teams";

    private final ConfigParts mSource;
    private final ImmutableList.Builder<String> mFaults = ImmutableList.builder();

    private DeploymentParser(ConfigParts source) {
        mSource = source;
    }

    /** Parses and checks all parts; throws with every fault that was found. */
    public static Deployment parse(ConfigParts parts) throws InvalidConfigException {
        return new DeploymentParser(parts).build();
    }

    private Deployment build() throws InvalidConfigException {
        ImmutableMap<WorkClassId, WorkClass> classes =
                index("classes", read("classes", Classes.class, Classes::classes), this::workClass);
        ImmutableMap<String, Team> teams = index(TEAMS_PREFIX, teamDocuments(), this::team);
        ImmutableMap<ModelId, Model> models =
                index("models", read("models", Models.class, Models::models), this::model);
        ImmutableMap<EndpointId, Endpoint> endpoints =
                index(
                        "endpoints",
                        read("endpoints", Endpoints.class, Endpoints::endpoints),
                        this::endpoint);
        ImmutableList<String> faults = mFaults.build();
        if (!faults.isEmpty()) {
            throw new InvalidConfigException(faults);
        }
        return new Deployment(mSource.version(), classes, teams, models, endpoints);
    }

    private ImmutableList<TeamDocument> teamDocuments() {
        return mSource.parts().keySet().stream()
                .filter(k -> k.startsWith(TEAMS_PREFIX))
                .flatMap(k -> read(k, Teams.class, Teams::teams).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private <D, T> List<T> read(String key, Class<D> type, Function<D, List<T>> list) {
        Buffer bytes = mSource.parts().get(key);
        if (bytes == null) {
            mFaults.add(key + ": the part is missing");
            return ImmutableList.of();
        }
        try {
            List<T> items = list.apply(Mappers.YAML.readValue(bytes.getBytes(), type));
            if (items != null) {
                return items;
            }
            mFaults.add(key + ": the list is missing");
        } catch (IOException e) {
            mFaults.add(key + ": " + e.getMessage().lines().findFirst().orElse(""));
        }
        return ImmutableList.of();
    }

    private <T, K, V> ImmutableMap<K, V> index(
            String part, List<T> items, Function<T, Entry<K, V>> convert) {
        ImmutableMap.Builder<K, V> result = ImmutableMap.builder();
        Set<K> seen = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            Optional<Entry<K, V>> entry = tryConvert(part + "[" + i + "]", items.get(i), convert);
            if (entry.isPresent() && !seen.add(entry.get().key())) {
                mFaults.add(part + "[" + i + "]: a second " + entry.get().key());
            } else {
                entry.ifPresent(e -> result.put(e.key(), e.value()));
            }
        }
        return result.buildOrThrow();
    }

    private <T, E> Optional<E> tryConvert(String where, T item, Function<T, E> convert) {
        try {
            return Optional.of(convert.apply(item));
        } catch (IllegalArgumentException e) {
            mFaults.add(where + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private Entry<WorkClassId, WorkClass> workClass(ClassDocument d) {
        WorkClassId id = new WorkClassId(required("id", d.id()));
        double share = required("share", d.share());
        String target = required("time_to_first_token", d.timeToFirstToken());
        return new Entry<>(id, new WorkClass(id, Units.duration(target), share));
    }

    private Entry<String, Team> team(TeamDocument d) {
        String digest =
                required("credential_sha256", d.credentialSha256()).toLowerCase(Locale.ROOT);
        return new Entry<>(digest, new Team(new TeamId(required("id", d.id())), digest));
    }

    private Entry<ModelId, Model> model(ModelDocument d) {
        ModelId id = new ModelId(required("id", d.id()));
        ImmutableSet<String> adapters =
                d.adapters() == null ? ImmutableSet.of() : ImmutableSet.copyOf(d.adapters());
        return new Entry<>(id, new Model(id, required("version", d.version()), adapters));
    }

    private Entry<EndpointId, Endpoint> endpoint(EndpointDocument d) {
        EndpointId id = new EndpointId(required("id", d.id()));
        DataCentreId dataCentre = new DataCentreId(required("data_centre", d.dataCentre()));
        Address address = Address.parse(required("address", d.address()));
        return new Entry<>(id, new Endpoint(id, dataCentre, address, kind(d)));
    }

    private static EndpointKind kind(EndpointDocument d) {
        if (!Strings.isNullOrEmpty(d.service())) {
            return new EndpointKind.Service(new ServiceId(d.service()));
        }
        ImmutableSet<ModelId> models =
                required("models", d.models()).stream()
                        .map(ModelId::new)
                        .collect(ImmutableSet.toImmutableSet());
        return new EndpointKind.Engine(
                models,
                required("memory_tokens", d.memoryTokens()),
                Boolean.TRUE.equals(d.checksFencing()));
    }

    private static <T> T required(String key, T value) {
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    private record Entry<K, V>(K key, V value) {}
}
