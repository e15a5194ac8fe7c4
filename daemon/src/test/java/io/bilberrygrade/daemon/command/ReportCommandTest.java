package io.bilberrygrade.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.report.ClassCounts;
import io.bilberrygrade.serving.report.ClassReport;
import io.bilberrygrade.serving.report.FleetReport;
import io.bilberrygrade.serving.report.FleetReport.DaemonLine;
import io.bilberrygrade.serving.report.MinuteLine;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks the table and the page of a report. */
final class ReportCommandTest {
    private static final ClassCounts COUNTS = new ClassCounts(10, 8, 7, 1, 1, 0, 2, 3, 25.5, 20);

    @Test
    void tableShowsEveryCountAndUnansweredDaemons() {
        String text = ReportCommand.describe(report(List.of("entry-2"), "short"));

        assertThat(text)
                .contains("NO ANSWER from entry-2")
                .contains("done: whole answer")
                .containsPattern("short +1500 ms +10 +70.0 % +20.0 of 25.5 +1 +1 +0 +2 +3\n");
    }

    @Test
    void summaryShowsThatAllDaemonsAnswered() {
        assertThat(ReportCommand.describe(report(List.of(), "short")))
                .contains("counts of 1 daemons; all answered");
    }

    @Test
    void pageContainsTableAndPlotsAndEscapesNames() throws IOException {
        String page = ReportPage.of(report(List.of(), "a<b>"));

        assertThat(page)
                .startsWith("<!DOCTYPE html>")
                .contains("<td>a&lt;b&gt;</td>")
                .doesNotContain("<td>a<b>");
        assertThat(page.split("<svg", -1)).hasSize(4);
    }

    @Test
    void pageOfEmptyPeriodHasNoPlots() throws IOException {
        FleetReport empty =
                new FleetReport(
                        "2026-01-01T00:00:00Z",
                        60,
                        4,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of());

        assertThat(ReportPage.of(empty))
                .contains("no requests in the period")
                .doesNotContain("svg");
    }

    private static FleetReport report(List<String> unanswered, String workClass) {
        return new FleetReport(
                "2026-01-01T00:00:00Z",
                60,
                4,
                List.of(new DaemonLine("entry-1", 7, "2026-01-01T00:00:00Z")),
                unanswered,
                List.of(new ClassReport(workClass, Optional.of(1500L), 0.7, COUNTS)),
                List.of(
                        new MinuteLine(100, workClass, COUNTS),
                        new MinuteLine(102, workClass, COUNTS)),
                Map.of("done", "whole answer"));
    }
}
