package io.bilberrygrade.daemon.command;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Prints the log lines of one request from several daemons in order of time. */
final class ExplainCommand {
    private static final Pattern EVENT_LINE =
            Pattern.compile("(\\d{4}-\\d{2}-\\d{2}T\\S+Z)\\s+\\S+\\s+(BG\\d{4} .*)");

    private ExplainCommand() {}

    static void register(Subparsers commands) {
        Subparser explain =
                commands.addParser("explain")
                        .help("print the log lines of a request from several daemons");
        explain.addArgument("request")
                .metavar("ID")
                .help("the request's id, as the caller sent it");
        explain.addArgument("files").metavar("FILE").nargs("+").help("log files of daemons");
        explain.setDefault(Command.HANDLER, (Command) ExplainCommand::run);
    }

    private static int run(Namespace arguments) {
        List<Path> files = arguments.<String>getList("files").stream().map(Path::of).toList();
        try {
            ImmutableList<String> timeline = timeline(arguments.getString("request"), files);
            timeline.forEach(System.out::println);
            return timeline.isEmpty() ? ExitCodes.FAILED : ExitCodes.OK;
        } catch (IOException e) {
            System.err.println("bilberrygrade: " + e);
            return ExitCodes.FAILED;
        }
    }

    /** Returns the request's log lines in order of time, each with the name of its file. */
    static ImmutableList<String> timeline(String request, List<Path> files) throws IOException {
        Pattern requestField = Pattern.compile("\\brequest=" + Pattern.quote(request) + "(\\s|$)");
        List<Entry> entries = new ArrayList<>();
        for (Path file : files) {
            for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                Matcher matcher = EVENT_LINE.matcher(line);
                if (matcher.find() && requestField.matcher(line).find()) {
                    entries.add(
                            new Entry(
                                    matcher.group(1),
                                    file.getFileName().toString(),
                                    requestField.matcher(matcher.group(2)).replaceFirst("")));
                }
            }
        }
        return entries.stream()
                .sorted(Comparator.comparing(Entry::time))
                .map(e -> e.time() + " " + e.file() + " " + e.text())
                .collect(ImmutableList.toImmutableList());
    }

    private record Entry(String time, String file, String text) {}
}
