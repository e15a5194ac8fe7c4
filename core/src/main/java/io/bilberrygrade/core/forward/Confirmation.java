package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * What a daemon says of its last linearizable read of the configuration, so that peers that can't
 * reach the store go on honouring keys.
 *
 * @param configRevision revision of the configuration that was found to be the newest
 * @param storeRevision the store's revision at that time, which counts every change
 * @param age time since the read was sent, at the moment of saying so
 */
public record Confirmation(long configRevision, long storeRevision, Duration age) {
    /**
     * Returns when the configuration of the given revision was the newest, as seen by the daemon
     * that had asked for this statement; empty if it says nothing of that revision. The age counts
     * from when the daemon asked, since a statement may have been on its way for any time.
     */
    public Optional<ClockReading> confirms(long ownRevision, ClockReading askedAt) {
        return configRevision == ownRevision && !age.isNegative()
                ? Optional.of(askedAt.minus(age))
                : Optional.empty();
    }
}
