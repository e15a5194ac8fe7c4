package io.bilberrygrade.daemon.command;

import io.bilberrygrade.core.report.ClassCounts;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.report.ClassReport;
import io.bilberrygrade.serving.report.FleetReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows the target and the outcomes of each work class, summed over the daemons. */
final class ReportCommand {
    static final List<String> HEADING =
            List.of(
                    "CLASS",
                    "TARGET",
                    "REQUESTS",
                    "INSIDE",
                    "WORTH IN TIME",
                    "REFUSED",
                    "FAILED",
                    "UNKNOWN",
                    "LOST",
                    "REPEATED");

    private static final int DEFAULT_MINUTES = 60;

    private ReportCommand() {}

    static void register(Subparsers commands) {
        Subparser report =
                commands.addParser("report")
                        .help("show the target and the outcomes of each work class");
        OperatorClient.addArguments(report);
        report.addArgument("--minutes")
                .type(Integer.class)
                .setDefault(DEFAULT_MINUTES)
                .help("period that ends now, at most 240 (60)");
        report.addArgument("--html").metavar("FILE").help("also write a page with plots");
        report.setDefault(Command.HANDLER, (Command) a -> OperatorClient.run(() -> show(a)));
    }

    private static int show(Namespace arguments) throws CallException, IOException {
        String path = "/v1/operator/report?minutes=" + arguments.getInt("minutes");
        FleetReport report = OperatorClient.get(arguments, path, FleetReport.class);
        if (arguments.getString("html") != null) {
            Files.writeString(Path.of(arguments.getString("html")), ReportPage.of(report));
        }
        System.out.print(
                arguments.getBoolean("json") ? Output.json(report) + "\n" : describe(report));
        return report.unanswered().isEmpty() ? ExitCodes.OK : ExitCodes.INCOMPLETE;
    }

    static String describe(FleetReport report) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(HEADING);
        report.classes().forEach(c -> rows.add(row(c)));
        StringBuilder text = new StringBuilder();
        text.append(summary(report)).append("\n\n").append(Output.table(rows)).append('\n');
        report.countedBy().forEach((column, method) -> text.append(column + ": " + method + "\n"));
        return text.toString();
    }

    static String summary(FleetReport report) {
        String answerStatus =
                report.unanswered().isEmpty()
                        ? "all answered"
                        : "NO ANSWER from " + String.join(", ", report.unanswered());
        return String.format(
                "%d minutes up to %s, configuration %d, counts of %d daemons; %s",
                report.periodMinutes(),
                report.at(),
                report.configVersion(),
                report.daemons().size(),
                answerStatus);
    }

    static List<String> row(ClassReport c) {
        ClassCounts counts = c.counts();
        return List.of(
                c.workClass(),
                c.targetMillis().map(t -> t + " ms").orElse("-"),
                String.valueOf(counts.requests()),
                String.format(Locale.ROOT, "%.1f %%", 100 * c.insideTargetShare()),
                String.format(
                        Locale.ROOT, "%.1f of %.1f", counts.worthInTime(), counts.worthOffered()),
                String.valueOf(counts.refused()),
                String.valueOf(counts.failed()),
                String.valueOf(counts.unknown()),
                String.valueOf(counts.losses()),
                String.valueOf(counts.repeats()));
    }
}
