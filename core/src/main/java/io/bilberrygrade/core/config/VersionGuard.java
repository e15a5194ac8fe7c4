package io.bilberrygrade.core.config;

/**
 * Decides whether a configuration version may come into force, so that no daemon ever reverts to an
 * older one, whatever its source.
 */
public final class VersionGuard {
    private VersionGuard() {}

    /** Returns whether the offered version is newer than the one in force. */
    public static boolean supersedes(long offered, long inForce) {
        return offered > inForce;
    }
}
