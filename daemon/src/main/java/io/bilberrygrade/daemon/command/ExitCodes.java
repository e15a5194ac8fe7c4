package io.bilberrygrade.daemon.command;

/** Exit codes of the command line, as documented in {@code docs/OPERATIONS.md}. */
public final class ExitCodes {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The command failed during its execution. */
    public static final int FAILED = 1;

    /** The arguments were wrong. */
    public static final int USAGE = 2;

    /** Settings or a published configuration are invalid. */
    public static final int INVALID = 3;

    /** A daemon could not be reached or refused the credential. */
    public static final int UNREACHABLE = 4;

    /** A report lacks the counts of some daemons. */
    public static final int INCOMPLETE = 5;

    /** Settings are valid, but secret files that they name don't exist yet. */
    public static final int SECRETS_MISSING = 6;

    private ExitCodes() {}
}
