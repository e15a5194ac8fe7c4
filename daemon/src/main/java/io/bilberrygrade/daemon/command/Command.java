package io.bilberrygrade.daemon.command;

import net.sourceforge.argparse4j.inf.Namespace;

/** What a sub-command does once its arguments are parsed. */
interface Command {
    /** Argument under which a sub-parser keeps its command. */
    String HANDLER = "handler";

    /** Runs the command and returns the exit code. */
    int run(Namespace arguments);
}
