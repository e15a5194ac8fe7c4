package io.bilberrygrade.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.bilberrygrade.serving.document.Fault;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PlacementKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the validation of settings and the reported faults. */
final class SettingsReaderTest {
    private static final String SECRET = "a-secret-of-more-than-16-bytes";
    private static final String VALID =
            """
            instance:
              id: entry-1
              data_centre: dc-1
              host: 127.0.0.1
            callers:
              port: 8080
            peers:
              port: 9090
              key_file: peer.key
            platform:
              configuration: 127.0.0.1:7001
              instances: 127.0.0.1:7002
            """;

    @TempDir private Path mFolder;

    @BeforeEach
    void writeSecret() throws IOException {
        Files.writeString(mFolder.resolve("peer.key"), SECRET);
        Files.writeString(mFolder.resolve("short.key"), "short");
    }

    @Test
    void fillsInDefaults() throws Exception {
        DaemonSettings settings = SettingsReader.read(write(VALID));

        EntrySettings entry = settings.entry();
        assertThat(entry.callerPort()).isEqualTo(8080);
        assertThat(entry.maxBodyBytes()).isEqualTo(16L << 20);
        assertThat(entry.maxDeadline()).isEqualTo(Duration.ofMinutes(15));
        assertThat(entry.policy().placement()).isEqualTo(PlacementKind.PREDICTIVE);
        assertThat(entry.policy().disabled()).isEmpty();
        assertThat(entry.operatorCredential()).isEmpty();
        assertThat(settings.logFormat()).isEqualTo(LogFormat.PLAIN);
    }

    @Test
    void readsEveryOptionalSection() throws Exception {
        DaemonSettings settings =
                SettingsReader.read(
                        write(
                                VALID
                                        + """
                                        operators:
                                          credential_file: peer.key
                                        log:
                                          format: json
                                          level: warn
                                        policy:
                                          placement: round_robin
                                          disabled: [FENCING, reclaim]
                                        """));

        assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
        assertThat(settings.logLevel()).isEqualTo(LogLevel.WARN);
        assertThat(settings.entry().policy().disabled())
                .containsExactly(Mechanism.FENCING, Mechanism.RECLAIM);
        assertThat(settings.entry().operatorCredential().orElseThrow().matches(SECRET)).isTrue();
        assertThat(settings.entry().operatorCredential().orElseThrow().matches("other")).isFalse();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    port: 8080|port: 0|6|callers.port|greater
                    port: 8080|port: 65536|6|callers.port|less
                    port: 8080|port: many|6|callers.port|whole
                    port: 8080|max_body: 1MiB|5|callers.port|missing
                    port: 9090|port: [1]|8|peers.port|whole
                    host: 127.0.0.1|host: localhost|4|instance.host|IP
                    id: entry-1|id: ''|2|instance.id|size
                    id: entry-1|name: entry-1|2|instance.name|unknown
                    instances: 127.0.0.1:7002|instances: 127.0.0.1|12|platform.instances|IP
                    key_file: peer.key|key_file: .|9|peers.key_file|read
                    key_file: peer.key|key_file: short.key|9|peers.key_file|16
                    """)
    void reportsFaultsWithLineAndKey(
            String valid, String wrong, int line, String key, String message) throws IOException {
        Path file = write(VALID.replace(valid, wrong));

        InvalidSettingsException e =
                catchThrowableOfType(
                        InvalidSettingsException.class, () -> SettingsReader.read(file));

        assertThat(e.faults())
                .anySatisfy(
                        f -> {
                            assertThat(f.document()).isEqualTo(file.toString());
                            assertThat(f.line()).isEqualTo(line);
                            assertThat(f.key()).isEqualTo(key);
                            assertThat(f.message()).contains(message);
                        });
    }

    @Test
    void reportsMissingSecretsSeparatelyFromFaults() throws IOException {
        Path file = write(VALID.replace("peer.key", "no.key"));

        InvalidSettingsException e =
                catchThrowableOfType(
                        InvalidSettingsException.class, () -> SettingsReader.read(file));

        assertThat(e.faults()).isEmpty();
        assertThat(e.missingSecrets())
                .singleElement()
                .satisfies(
                        f -> {
                            assertThat(f.document()).isEqualTo(file.toString());
                            assertThat(f.line()).isEqualTo(9);
                            assertThat(f.key()).isEqualTo("peers.key_file");
                            assertThat(f.message()).contains("no such file");
                        });
    }

    @ParameterizedTest
    @CsvSource({
        "max_body: 16, size with a unit",
        "max_body: 16MB, size with a unit",
        "max_body: 16B, greater",
        "max_body: 1GiB, less",
        "max_deadline: 10, duration with a unit",
        "max_deadline: 10 days, duration with a unit",
        "max_deadline: 1ms, longer",
        "drain_timeout: 3h, shorter"
    })
    void rejectsWrongUnitsAndRanges(String line, String message) throws IOException {
        Path file = write(VALID.replace("  port: 8080\n", "  port: 8080\n  " + line + "\n"));

        InvalidSettingsException e =
                catchThrowableOfType(
                        InvalidSettingsException.class, () -> SettingsReader.read(file));

        assertThat(e.faults()).singleElement().extracting(Fault::line).isEqualTo(7);
        assertThat(e.faults().get(0).message()).contains(message);
    }

    @Test
    void reportsAllFaultsAtOnce() throws IOException {
        Path file =
                write(
                        VALID.replace("port: 8080", "port: 0")
                                .replace("port: 9090", "port: x")
                                .replace("data_centre: dc-1", "zone: dc-1")
                                .concat("colour: red\n"));

        InvalidSettingsException e =
                catchThrowableOfType(
                        InvalidSettingsException.class, () -> SettingsReader.read(file));

        assertThat(e.faults())
                .extracting(Fault::key)
                .containsExactlyInAnyOrder(
                        "callers.port",
                        "peers.port",
                        "instance.zone",
                        "instance.data_centre",
                        "colour");
    }

    @ParameterizedTest
    @CsvSource({"'instance: [', 1", "'a: 1\na: 2', 2", "'- 1', 1", "'', 1"})
    void rejectsDocumentsOtherThanMappings(String text, int line) throws IOException {
        Path file = write(text);

        InvalidSettingsException e =
                catchThrowableOfType(
                        InvalidSettingsException.class, () -> SettingsReader.read(file));

        assertThat(e.faults()).isNotEmpty();
        assertThat(e.faults().get(0).line()).isBetween(1, line);
    }

    @Test
    void stringFormOmitsSecrets() throws Exception {
        String valid = VALID + "operators:\n  credential_file: peer.key\n";

        assertThat(SettingsReader.read(write(valid)).toString()).doesNotContain(SECRET);
    }

    private Path write(String text) throws IOException {
        return Files.writeString(mFolder.resolve("entry.yaml"), text);
    }
}
