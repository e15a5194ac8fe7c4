package io.bilberrygrade.serving.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Forms of the published configuration parts, as operators and the platform write them. */
public final class DeploymentDocuments {
    private DeploymentDocuments() {}

    /** Part {@code classes}. */
    public record Classes(List<ClassDocument> classes) {}

    /** A class of work: time to first token with its unit, share from 0 to 1. */
    public record ClassDocument(
            String id,
            @JsonProperty("time_to_first_token") String timeToFirstToken,
            Double share) {}

    /** Parts whose key starts with {@code teams}. */
    public record Teams(List<TeamDocument> teams) {}

    /** A team with the SHA-256 digest of its credential in hexadecimal. */
    public record TeamDocument(
            String id, @JsonProperty("credential_sha256") String credentialSha256) {}

    /** Part {@code models}. */
    public record Models(List<ModelDocument> models) {}

    /** A model with the version and adapters that engines are to have loaded. */
    public record ModelDocument(String id, Long version, List<String> adapters) {}

    /** Part {@code endpoints}. */
    public record Endpoints(List<EndpointDocument> endpoints) {}

    /** An endpoint; a model engine has {@code models}, an instance of a service has a service. */
    public record EndpointDocument(
            String id,
            @JsonProperty("data_centre") String dataCentre,
            String address,
            List<String> models,
            @JsonProperty("memory_tokens") Long memoryTokens,
            @JsonProperty("checks_fencing") Boolean checksFencing,
            String service) {}
}
