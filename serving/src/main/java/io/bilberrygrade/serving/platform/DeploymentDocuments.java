package io.bilberrygrade.serving.platform;

import io.bilberrygrade.serving.document.KeyInfo;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.time.Duration;
import java.util.List;
import org.hibernate.validator.constraints.time.DurationMax;
import org.hibernate.validator.constraints.time.DurationMin;

/** Schema of the published configuration parts, as operators and the platform write them. */
public final class DeploymentDocuments {
    private static final int MAX_ID_CHARS = 128;
    private static final int MAX_CLASSES = 64;
    private static final String DIGEST = "[0-9a-fA-F]{64}";
    private static final String ADDRESS = ".+:[0-9]{1,5}";

    private DeploymentDocuments() {}

    /** Part {@code classes}. */
    public record Classes(
            @KeyInfo("the classes of work; their shares add up to at most 1")
                    @Valid
                    @Size(min = 1, max = MAX_CLASSES)
                    List<ClassDocument> classes) {}

    /** A class of work: time to first token with its unit, share from 0 to 1. */
    public record ClassDocument(
            @KeyInfo("name that callers send in `X-Work-Class`") @Size(min = 1, max = MAX_ID_CHARS)
                    String id,
            @KeyInfo("target for the time from a request's arrival to its first token")
                    @DurationMin(millis = 1)
                    @DurationMax(minutes = 60)
                    Duration timeToFirstToken,
            @KeyInfo("share of fleet work that the class may claim; unclaimed shares are lent")
                    @DecimalMin("0")
                    @DecimalMax("1")
                    Double share) {}

    /** Parts whose key starts with {@code teams}. */
    public record Teams(
            @KeyInfo("the teams; further parts may follow, with names that start with `teams`")
                    @Valid
                    List<TeamDocument> teams) {}

    /** A team with the SHA-256 digest of its credential in hexadecimal. */
    public record TeamDocument(
            @KeyInfo("name of the team") @Size(min = 1, max = MAX_ID_CHARS) String id,
            @KeyInfo("SHA-256 of the team's credential")
                    @Pattern(regexp = DIGEST, message = "must be 64 hexadecimal digits")
                    String credentialSha256) {}

    /** Part {@code models}. */
    public record Models(
            @KeyInfo("the models that engines should have loaded") @Valid
                    List<ModelDocument> models,
            @KeyInfo(
                            value = "reads per second that the weight store allows all engines",
                            defaultValue = "1")
                    @DecimalMin("0.01")
                    @DecimalMax("1000")
                    Double weightReadsPerSecond) {}

    /** Model with the version and the adapters that engines should have loaded. */
    public record ModelDocument(
            @KeyInfo("name that callers send as `model`") @Size(min = 1, max = MAX_ID_CHARS)
                    String id,
            @KeyInfo("version of the weights") @Min(1) Long version,
            @KeyInfo(value = "names of the adapters", optional = true) List<String> adapters) {}

    /** Part {@code endpoints}. */
    public record Endpoints(
            @KeyInfo("the model engines and the instances of plain services") @Valid
                    List<EndpointDocument> endpoints) {}

    /**
     * Endpoint; a model engine has {@code models}, an instance of a service has {@code service}.
     */
    public record EndpointDocument(
            @KeyInfo("name of the endpoint") @Size(min = 1, max = MAX_ID_CHARS) String id,
            @KeyInfo("data centre in which it runs") @Size(min = 1, max = MAX_ID_CHARS)
                    String dataCentre,
            @KeyInfo("listening address") @Pattern(regexp = ADDRESS, message = "must be IP:port")
                    String address,
            @KeyInfo(value = "models that a model engine serves", optional = true)
                    List<String> models,
            @KeyInfo(value = "KV memory of a model engine in tokens", optional = true) @Min(1)
                    Long memoryTokens,
            @KeyInfo(
                            value =
                                    "whether a model engine refuses an order with an old fencing"
                                            + " token",
                            defaultValue = "false")
                    Boolean checksFencing,
            @KeyInfo(value = "role that a model engine should take", defaultValue = "mixed")
                    @Size(min = 1, max = MAX_ID_CHARS)
                    String role,
            @KeyInfo(value = "plain service that it is an instance of", optional = true)
                    String service) {}
}
