package io.bilberrygrade.core.forward;

/**
 * Decides whether a read of the configuration renews the lease for accepting keys. A store that was
 * restored from an older copy returns an older version until the operator writes again. Key
 * revocations may be among the lost writes, so such a read doesn't confirm that keys are still
 * valid.
 */
public final class LeaseRenewal {
    private LeaseRenewal() {}

    /**
     * Returns whether a read that returned version {@code read} renews the lease of a daemon that
     * has version {@code inForce} in force, after the result of the read has been applied. An older
     * version renews it only if it was read in the same era, since the read was then sent before
     * the version in force was written.
     *
     * @param readIn era of the store in which the version was read
     * @param inForceFrom era of the store in which the version in force was last seen
     */
    public static boolean renews(long read, long readIn, long inForce, long inForceFrom) {
        boolean sentBeforeTheChange = read < inForce && readIn == inForceFrom;
        return read == inForce || sentBeforeTheChange;
    }
}
