package io.bilberrygrade.core.forward;

/**
 * Decides whether a reading of the configuration renews the right to honour keys. A store that came
 * back from an older copy shows an older version until the operator has written again; a withdrawal
 * of keys may be among what it lost, so that such a reading proves nothing.
 */
public final class LeaseRenewal {
    private LeaseRenewal() {}

    /**
     * Returns whether a reading that found a version renews the lease of a daemon that has the
     * other version in force, once what was read has been taken over.
     *
     * @param readIn era of the store in which the version was read
     * @param inForceFrom era of the store in which the version in force was last seen
     */
    public static boolean renews(long read, long readIn, long inForce, long inForceFrom) {
        boolean sentBeforeTheChange = read < inForce && readIn == inForceFrom;
        return read == inForce || sentBeforeTheChange;
    }
}
