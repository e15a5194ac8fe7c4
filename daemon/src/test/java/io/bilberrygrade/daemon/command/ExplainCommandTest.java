package io.bilberrygrade.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainCommandTest {
    @TempDir private Path mFolder;

    @Test
    void mergesLinesOfRequestByTime() throws IOException {
        Path first = mFolder.resolve("a.log");
        Path second = mFolder.resolve("b.log");
        Files.writeString(
                first,
                """
                2026-01-01T00:00:02.000Z INFO  BG7005 not-served request=r1 promise=unknown
                2026-01-01T00:00:01.000Z INFO  BG7001 accepted request=r1 route=x
                2026-01-01T00:00:01.000Z INFO  BG7001 accepted request=r11 route=x
                no line of ours request=r1
                """);
        Files.writeString(
                second, "2026-01-01T00:00:01.500Z INFO  BG7002 sent request=r1 attempt=1\n");
        assertThat(ExplainCommand.timeline("r1", List.of(first, second)))
                .containsExactly(
                        "2026-01-01T00:00:01.000Z a.log BG7001 accepted route=x",
                        "2026-01-01T00:00:01.500Z b.log BG7002 sent attempt=1",
                        "2026-01-01T00:00:02.000Z a.log BG7005 not-served promise=unknown");
    }

    @Test
    void unknownRequestHasNoLines() throws IOException {
        Path log = mFolder.resolve("a.log");
        Files.writeString(log, "2026-01-01T00:00:01.000Z INFO  BG7001 accepted request=r1\n");
        assertThat(ExplainCommand.timeline("r2", List.of(log))).isEmpty();
    }
}
