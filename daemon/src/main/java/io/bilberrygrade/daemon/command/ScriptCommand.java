package io.bilberrygrade.daemon.command;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Command that the script {@code bin/bilberrygrade} implements, since no process of the system
 * starts other processes. Prints a hint.
 */
final class ScriptCommand implements Command {
    private final String mName;

    private ScriptCommand(String name) {
        mName = name;
    }

    static void register(Subparsers commands, String name, String help) {
        commands.addParser(name).help(help).setDefault(HANDLER, new ScriptCommand(name));
    }

    @Override
    public int run(Namespace arguments) {
        System.err.println("Run it as bin/bilberrygrade " + mName + ", which starts processes.");
        return ExitCodes.USAGE;
    }
}
