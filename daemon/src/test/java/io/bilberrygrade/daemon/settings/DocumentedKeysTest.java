package io.bilberrygrade.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.daemon.command.SettingsCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the pages on settings and configuration contain the generated tables. */
final class DocumentedKeysTest {
    @ParameterizedTest
    @CsvSource({"settings, SETTINGS.md", "configuration, CONFIGURATION.md"})
    void pageContainsGeneratedTables(String what, String page) throws IOException {
        String text = Files.readString(Path.of("..", "docs", page));

        assertThat(text).contains(SettingsCommand.keyTables(what));
    }
}
