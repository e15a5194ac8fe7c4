package io.bilberrygrade.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks exit codes, hints and output of the command line. */
final class CommandLineTest {
    private final PrintStream mOut = System.out;
    private final PrintStream mErr = System.err;
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    @BeforeEach
    void capture() {
        PrintStream stream = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterEach
    void restore() {
        System.setOut(mOut);
        System.setErr(mErr);
    }

    @ParameterizedTest
    @CsvSource({
        "--help, 0, commands",
        "--version, 0, bilberrygrade",
        "entry --help, 0, --settings",
        "entri, 2, entry",
        "entry --setings x, 2, --settings",
        "entry, 2, --settings",
        "settings check, 2, FILE",
        "demo, 2, bin/bilberrygrade demo",
        "entry --settings no-such-file, 3, no-such-file:1",
        "settings check no-such-file, 3, no-such-file:1",
    })
    void returnsExitCodeAndPrintsHint(String line, int code, String text) {
        assertThat(CommandLine.run(line.split(" "))).isEqualTo(code);
        assertThat(output()).contains(text);
    }

    @ParameterizedTest
    @ValueSource(strings = {"lantern", "veeliin"})
    void acceptsExamples(String example, @TempDir Path folder) throws IOException {
        Path source = Path.of("..", "examples", example);
        Files.writeString(folder.resolve("peer.key"), "a-key-of-at-least-16-bytes");
        Files.writeString(folder.resolve("operator.key"), "a-credential-of-16-bytes");
        for (int i = 1; i <= 5; i++) {
            Path file = folder.resolve("entry-" + i + ".yaml");
            Files.copy(source.resolve(file.getFileName()), file);
            assertThat(CommandLine.run("settings", "check", file.toString())).as(output()).isZero();
        }
        assertThat(CommandLine.run("settings", "check", source.resolve("configuration").toString()))
                .as(output())
                .isZero();
    }

    @Test
    void distinguishesMissingSecretsFromFaults(@TempDir Path folder) throws IOException {
        Path example = Path.of("..", "examples", "lantern", "entry-1.yaml");
        Path file = Files.copy(example, folder.resolve("entry-1.yaml"));
        assertThat(CommandLine.run("settings", "check", file.toString())).isEqualTo(6);
        assertThat(output())
                .contains("entry-1.yaml:12: peers.key_file: no such file: peer.key")
                .contains("operators.credential_file: no such file: operator.key")
                .contains("ok, 2 secrets are missing");
        Files.writeString(file, Files.readString(file).replace("port: 21301", "port: x"));
        assertThat(CommandLine.run("settings", "check", file.toString())).isEqualTo(3);
    }

    @ParameterizedTest
    @ValueSource(strings = {"--version", "settings check no-such-file"})
    void writesNoBanner(String line) {
        CommandLine.run(line.split(" "));
        assertThat(output()).doesNotContain("Hibernate");
    }

    @Test
    void writesFaultsAsJson(@TempDir Path folder) {
        assertThat(CommandLine.run("settings", "check", "--json", folder.toString())).isEqualTo(3);
        assertThat(output()).contains("\"faults\"").contains("the part is missing");
    }

    private String output() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }
}
