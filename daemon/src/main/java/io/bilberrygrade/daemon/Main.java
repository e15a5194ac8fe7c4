package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.command.EntryCommand;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Entry point of the command line. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the sub-command that the arguments name. */
    public static void main(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("bilberrygrade")
                        .build()
                        .description("Serving layer for prompts of very unlike lengths.");
        Subparser entry =
                parser.addSubparsers()
                        .dest("command")
                        .addParser("entry")
                        .help("run an entry daemon");
        entry.addArgument("--settings").required(true).help("settings file");
        try {
            Namespace arguments = parser.parseArgs(args);
            System.exit(EntryCommand.run(Path.of(arguments.getString("settings"))));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }
}
