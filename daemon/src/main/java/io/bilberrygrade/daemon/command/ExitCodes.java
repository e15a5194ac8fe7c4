package io.bilberrygrade.daemon.command;

/** Exit codes of the command line, as documented in {@code docs/OPERATIONS.md}. */
public final class ExitCodes {
    /** The command did what it was asked. */
    public static final int OK = 0;

    /** The command failed while it ran. */
    public static final int FAILED = 1;

    /** The arguments were wrong. */
    public static final int USAGE = 2;

    /** Settings or a published configuration failed their checks. */
    public static final int INVALID = 3;

    /** A daemon could not be reached or refused the credential. */
    public static final int UNREACHABLE = 4;

    /** A report lacks the figures of some daemons. */
    public static final int INCOMPLETE = 5;

    /** Settings are well formed, but files with secrets that they name don't exist yet. */
    public static final int SECRETS_MISSING = 6;

    private ExitCodes() {}
}
