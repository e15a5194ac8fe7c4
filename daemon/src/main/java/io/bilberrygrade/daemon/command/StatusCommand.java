package io.bilberrygrade.daemon.command;

import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.report.AuditEntry;
import io.bilberrygrade.serving.report.StatusDocument;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows a daemon's configuration, peers, endpoints and audit trail. */
final class StatusCommand {
    private StatusCommand() {}

    static void register(Subparsers commands) {
        Subparser status = commands.addParser("status").help("show the state of a daemon");
        OperatorClient.addArguments(status);
        status.setDefault(Command.HANDLER, (Command) a -> OperatorClient.run(() -> show(a)));
    }

    private static int show(Namespace arguments) throws CallException, IOException {
        StatusDocument status =
                OperatorClient.get(arguments, "/v1/operator/status", StatusDocument.class);
        System.out.print(
                arguments.getBoolean("json") ? Output.json(status) + "\n" : describe(status));
        return ExitCodes.OK;
    }

    static String describe(StatusDocument s) {
        return summary(s) + peers(s) + endpoints(s) + audit(s);
    }

    private static String summary(StatusDocument s) {
        String state = s.draining() ? "draining" : s.ready() ? "ready" : "not ready";
        return String.format(
                "%s in %s, run %d since %s: %s, %d requests running%n"
                        + "configuration %d in force since %s%n%n",
                s.instance(),
                s.dataCentre(),
                s.incarnation(),
                s.startedAt(),
                state,
                s.runningRequests(),
                s.config().version(),
                s.config().inForceSince().orElse("never"));
    }

    private static String peers(StatusDocument s) {
        return table(
                List.of("PEER", "STATE", "RUN"),
                s.peers(),
                p ->
                        List.of(
                                p.instance(),
                                p.state(),
                                p.incarnation().map(String::valueOf).orElse("-")));
    }

    private static String endpoints(StatusDocument s) {
        return table(
                List.of("ENDPOINT", "DATA CENTRE", "KIND", "STATE", "OWN", "BACKLOG", "FREE"),
                s.endpoints(),
                e ->
                        List.of(
                                e.endpoint(),
                                e.dataCentre(),
                                e.kind(),
                                e.available() ? "in use" : "ejected",
                                String.valueOf(e.ownRequests()),
                                String.valueOf(e.backlogTokens()),
                                String.valueOf(e.freeTokens())));
    }

    private static String audit(StatusDocument s) {
        return table(
                List.of("IN FORCE AT", "EVENT", "CHANGE"),
                s.audit(),
                a -> List.of(a.at(), a.event(), a.name() + fields(a)));
    }

    private static String fields(AuditEntry entry) {
        return entry.fields().entrySet().stream()
                .map(StatusCommand::field)
                .collect(Collectors.joining());
    }

    private static String field(Map.Entry<String, String> field) {
        return " " + field.getKey() + "=" + field.getValue();
    }

    private static <T> String table(
            List<String> heading, List<T> items, Function<T, List<String>> row) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(heading);
        items.forEach(i -> rows.add(row.apply(i)));
        return Output.table(rows) + "\n";
    }
}
