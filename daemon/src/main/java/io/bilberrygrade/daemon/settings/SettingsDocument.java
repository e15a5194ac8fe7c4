package io.bilberrygrade.daemon.settings;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import io.bilberrygrade.serving.document.ByteSizeDeserializer;
import io.bilberrygrade.serving.document.KeyInfo;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PlacementKind;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.time.Duration;
import java.util.List;
import org.hibernate.validator.constraints.time.DurationMax;
import org.hibernate.validator.constraints.time.DurationMin;

/** Schema of the settings file. */
public record SettingsDocument(
        @KeyInfo(value = "this instance", defaultValue = "{}") @Valid InstanceSection instance,
        @KeyInfo(value = "the callers' interface", defaultValue = "{}") @Valid
                CallersSection callers,
        @KeyInfo(value = "the other daemons", defaultValue = "{}") @Valid PeersSection peers,
        @KeyInfo(value = "the platform's services", defaultValue = "{}") @Valid
                PlatformSection platform,
        @KeyInfo(value = "the operators' interface", defaultValue = "{}") @Valid
                OperatorsSection operators,
        @KeyInfo(value = "the log stream", defaultValue = "{}") @Valid LogSection log,
        @KeyInfo(value = "for measurements only", defaultValue = "{}") @Valid
                PolicySection policy) {
    private static final int MAX_ID_CHARS = 128;
    private static final int MAX_PORT = 65_535;
    private static final long MIN_BODY_BYTES = 1L << 10;
    private static final long MAX_BODY_BYTES = 256L << 20;
    private static final String IP = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+";
    private static final String IP_MESSAGE = "must be an IP address";
    private static final String ADDRESS = "(" + IP + "):[0-9]{1,5}";
    private static final String ADDRESS_MESSAGE = "must be IP:port";

    /** Section {@code instance}. */
    public record InstanceSection(
            @KeyInfo("name of this instance, as in the published list of instances")
                    @Size(min = 1, max = MAX_ID_CHARS)
                    String id,
            @KeyInfo("data centre in which this instance runs") @Size(min = 1, max = MAX_ID_CHARS)
                    String dataCentre,
            @KeyInfo("IP address on which the daemon listens")
                    @Pattern(regexp = IP, message = IP_MESSAGE)
                    String host) {}

    /** Section {@code callers}. */
    public record CallersSection(
            @KeyInfo("port for callers, operators, health and metrics") @Min(1) @Max(MAX_PORT)
                    Integer port,
            @KeyInfo(value = "largest request body", defaultValue = "16MiB")
                    @JsonDeserialize(using = ByteSizeDeserializer.class)
                    @Min(MIN_BODY_BYTES)
                    @Max(MAX_BODY_BYTES)
                    Long maxBody,
            @KeyInfo(
                            value = "maximum deadline of a request; a longer one is reduced to it",
                            defaultValue = "15min")
                    @DurationMin(seconds = 1)
                    @DurationMax(minutes = 120)
                    Duration maxDeadline,
            @KeyInfo(
                            value = "maximum time that a shutdown waits for running requests",
                            defaultValue = "15min")
                    @DurationMin(millis = 0)
                    @DurationMax(minutes = 120)
                    Duration drainTimeout) {}

    /** Section {@code peers}. */
    public record PeersSection(
            @KeyInfo("port for other daemons") @Min(1) @Max(MAX_PORT) Integer port,
            @KeyInfo("file with the key that all daemons share, at least 16 bytes") @Size(min = 1)
                    String keyFile) {}

    /** Section {@code platform}. */
    public record PlatformSection(
            @KeyInfo("configuration service") @Pattern(regexp = ADDRESS, message = ADDRESS_MESSAGE)
                    String configuration,
            @KeyInfo("list of instances") @Pattern(regexp = ADDRESS, message = ADDRESS_MESSAGE)
                    String instances) {}

    /** Section {@code operators}. */
    public record OperatorsSection(
            @KeyInfo(
                            value =
                                    "file with the credential for status and reports, at least 16"
                                            + " bytes; without it they are closed",
                            optional = true)
                    String credentialFile) {}

    /** Section {@code log}. */
    public record LogSection(
            @KeyInfo(value = "plain lines or one JSON object a line", defaultValue = "plain")
                    LogFormat format,
            @KeyInfo(value = "minimum level that is logged", defaultValue = "info")
                    LogLevel level) {}

    /** Section {@code policy}. */
    public record PolicySection(
            @KeyInfo(
                            value = "placement of prompts; all but `predictive` are baselines",
                            defaultValue = "predictive")
                    PlacementKind placement,
            @KeyInfo(value = "mechanisms that are switched off", optional = true)
                    List<Mechanism> disabled) {}
}
