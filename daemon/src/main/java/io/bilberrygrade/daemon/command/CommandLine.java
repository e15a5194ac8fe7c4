package io.bilberrygrade.daemon.command;

import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Parses the command line and runs the sub-commands. */
public final class CommandLine {
    private static final String PROGRAM = "bilberrygrade";
    private static final String VERSION = "--version";
    private static final String EXIT_CODES =
            "exit codes: 0 done, 1 failed, 2 wrong arguments, 3 settings or configuration failed"
                    + " their checks, 4 a daemon could not be reached, 5 a report lacks some"
                    + " daemons";

    private CommandLine() {}

    /** Runs the sub-command named by the arguments and returns the exit code. */
    public static int run(String... args) {
        if (args.length == 1 && args[0].equals(VERSION)) {
            System.out.println(PROGRAM + " " + version());
            return ExitCodes.OK;
        }
        ArgumentParser parser = parser();
        try {
            Namespace arguments = parser.parseArgs(args);
            Command command = arguments.get(Command.HANDLER);
            return command.run(arguments);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return isHelpScreen(e) ? ExitCodes.OK : ExitCodes.USAGE;
        }
    }

    private static boolean isHelpScreen(ArgumentParserException e) {
        return e instanceof net.sourceforge.argparse4j.helper.HelpScreenException;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor(PROGRAM)
                        .build()
                        .description("Serving layer for prompts of widely varying lengths.")
                        .epilog(EXIT_CODES);
        parser.addArgument(VERSION).action(Arguments.storeTrue()).help("show the version");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        EntryCommand.register(commands);
        SettingsCommand.register(commands);
        StatusCommand.register(commands);
        ReportCommand.register(commands);
        ExplainCommand.register(commands);
        ScriptCommand.register(commands, "measure", "run measurements with stand-ins");
        ScriptCommand.register(commands, "demo", "run an example with stand-ins");
        return parser;
    }

    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
