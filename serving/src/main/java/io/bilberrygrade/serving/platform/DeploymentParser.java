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
import io.bilberrygrade.serving.document.Document;
import io.bilberrygrade.serving.document.DocumentReader;
import io.bilberrygrade.serving.document.Fault;
import io.bilberrygrade.serving.platform.DeploymentDocuments.ClassDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Classes;
import io.bilberrygrade.serving.platform.DeploymentDocuments.EndpointDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Endpoints;
import io.bilberrygrade.serving.platform.DeploymentDocuments.ModelDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Models;
import io.bilberrygrade.serving.platform.DeploymentDocuments.TeamDocument;
import io.bilberrygrade.serving.platform.DeploymentDocuments.Teams;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Parses the published parts into a validated {@link Deployment} and collects all faults. */
public final class DeploymentParser {
    private static final String CLASSES = "classes";
    private static final String TEAMS = "teams";
    private static final String MODELS = "models";
    private static final String ENDPOINTS = "endpoints";
    private static final int MAX_PART_BYTES = 1_000_000;
    private static final double SHARE_TOLERANCE = 1e-9;

    private final ConfigParts mSource;
    private final List<Fault> mFaults = new ArrayList<>();
    private double mWeightReadsPerSecond = Deployment.DEFAULT_WEIGHT_READS_PER_SECOND;

    private DeploymentParser(ConfigParts source) {
        mSource = source;
    }

    /** Parses and checks all parts; throws with every fault that was found. */
    public static Deployment parse(ConfigParts parts) throws InvalidConfigException {
        return new DeploymentParser(parts).build();
    }

    private Deployment build() throws InvalidConfigException {
        ImmutableMap<WorkClassId, WorkClass> classes = classes();
        ImmutableMap<String, Team> teams = teams();
        Optional<ImmutableMap<ModelId, Model>> models = models();
        ImmutableMap<EndpointId, Endpoint> endpoints = endpoints(models.map(Map::keySet));
        if (!mFaults.isEmpty()) {
            throw new InvalidConfigException(ImmutableList.copyOf(mFaults));
        }
        return new Deployment(
                mSource.version(),
                classes,
                teams,
                models.orElseThrow(),
                endpoints,
                mWeightReadsPerSecond);
    }

    private ImmutableMap<WorkClassId, WorkClass> classes() {
        Optional<Document<Classes>> part = read(CLASSES, Classes.class);
        if (part.isEmpty()) {
            return ImmutableMap.of();
        }
        UniqueIndex<WorkClassId, WorkClass> index = new UniqueIndex<>(part.get(), mFaults::add);
        double shares = 0;
        for (ClassDocument d : part.get().value().classes()) {
            WorkClassId id = new WorkClassId(d.id());
            shares += d.share();
            index.add("/classes", id, new WorkClass(id, d.timeToFirstToken(), d.share()));
        }
        if (shares > 1 + SHARE_TOLERANCE) {
            String message =
                    String.format(Locale.ROOT, "the shares add up to %.3f, over 1", shares);
            mFaults.add(part.get().fault("/classes", message));
        }
        return index.build();
    }

    private ImmutableMap<String, Team> teams() {
        UniqueIndex<String, Team> byDigest = new UniqueIndex<>(mFaults::add);
        UniqueIndex<TeamId, Team> byId = new UniqueIndex<>(mFaults::add);
        ImmutableList<String> keys =
                mSource.parts().keySet().stream()
                        .filter(k -> k.startsWith(TEAMS))
                        .collect(ImmutableList.toImmutableList());
        if (keys.isEmpty()) {
            mFaults.add(missing(TEAMS));
        }
        for (String key : keys) {
            Optional<Document<Teams>> part = read(key, Teams.class);
            part.ifPresent(byDigest::startPart);
            part.ifPresent(byId::startPart);
            for (TeamDocument d : part.map(p -> p.value().teams()).orElse(ImmutableList.of())) {
                String digest = d.credentialSha256().toLowerCase(Locale.ROOT);
                Team team = new Team(new TeamId(d.id()), digest);
                byId.add("/teams", team.id(), team);
                byDigest.add("/teams", digest, team);
            }
        }
        return byDigest.build();
    }

    private Optional<ImmutableMap<ModelId, Model>> models() {
        return read(MODELS, Models.class).map(this::models);
    }

    private ImmutableMap<ModelId, Model> models(Document<Models> part) {
        UniqueIndex<ModelId, Model> index = new UniqueIndex<>(part, mFaults::add);
        mWeightReadsPerSecond = part.value().weightReadsPerSecond();
        for (ModelDocument d : part.value().models()) {
            ModelId id = new ModelId(d.id());
            ImmutableSet<String> adapters =
                    d.adapters() == null ? ImmutableSet.of() : ImmutableSet.copyOf(d.adapters());
            index.add("/models", id, new Model(id, d.version(), adapters));
        }
        return index.build();
    }

    private ImmutableMap<EndpointId, Endpoint> endpoints(Optional<Set<ModelId>> models) {
        Optional<Document<Endpoints>> part = read(ENDPOINTS, Endpoints.class);
        if (part.isEmpty()) {
            return ImmutableMap.of();
        }
        UniqueIndex<EndpointId, Endpoint> index = new UniqueIndex<>(part.get(), mFaults::add);
        List<EndpointDocument> items = part.get().value().endpoints();
        for (int i = 0; i < items.size(); i++) {
            EndpointDocument d = items.get(i);
            String pointer = "/endpoints/" + i;
            EndpointId id = new EndpointId(d.id());
            try {
                Endpoint endpoint =
                        new Endpoint(
                                id,
                                new DataCentreId(d.dataCentre()),
                                Address.parse(d.address()),
                                kind(d, models));
                index.add("/endpoints", id, endpoint);
            } catch (IllegalArgumentException e) {
                index.skip();
                mFaults.add(part.get().fault(pointer, e.getMessage()));
            }
        }
        return index.build();
    }

    private static EndpointKind kind(EndpointDocument d, Optional<Set<ModelId>> models) {
        boolean engine = d.models() != null && !d.models().isEmpty();
        boolean service = !Strings.isNullOrEmpty(d.service());
        if (engine == service) {
            throw new IllegalArgumentException("either models or service must be given");
        }
        if (service) {
            return new EndpointKind.Service(new ServiceId(d.service()));
        }
        if (d.memoryTokens() == null) {
            throw new IllegalArgumentException("a model engine needs memory_tokens");
        }
        ImmutableSet<ModelId> served =
                d.models().stream().map(ModelId::new).collect(ImmutableSet.toImmutableSet());
        for (ModelId model : served) {
            if (models.isPresent() && !models.get().contains(model)) {
                throw new IllegalArgumentException("part models has no '" + model + "'");
            }
        }
        return new EndpointKind.Engine(served, d.memoryTokens(), d.checksFencing(), d.role());
    }

    private <T> Optional<Document<T>> read(String key, Class<T> type) {
        Buffer bytes = mSource.parts().get(key);
        if (bytes == null) {
            mFaults.add(missing(key));
            return Optional.empty();
        }
        if (bytes.length() > MAX_PART_BYTES) {
            String message = "the part has " + bytes.length() + " bytes, over " + MAX_PART_BYTES;
            mFaults.add(new Fault(key, 1, "", message));
            return Optional.empty();
        }
        return DocumentReader.read(key, bytes.getBytes(), type, mFaults::add);
    }

    private static Fault missing(String key) {
        return new Fault(key, 1, "", "the part is missing");
    }
}
