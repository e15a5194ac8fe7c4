package io.bilberrygrade.daemon.command;

import net.sourceforge.argparse4j.inf.Namespace;

/** Implementation of a sub-command. */
interface Command {
    /** Key under which a sub-parser stores its command in the namespace. */
    String HANDLER = "handler";

    /** Runs the command and returns the exit code. */
    int run(Namespace arguments);
}
