package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.command.CommandLine;

/** Entry point of the command line. */
public final class Main {
    private Main() {}

    /** Runs the sub-command named by the arguments and exits with its code. */
    public static void main(String[] args) {
        System.exit(CommandLine.run(args));
    }
}
