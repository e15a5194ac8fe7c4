package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * What a daemon says of its last linearizable read of the configuration, so that peers that can't
 * reach the store go on honouring keys.
 *
 * @param configVersion version of the configuration that was found to be the newest; versions, not
 *     revisions, tell configurations apart, since revisions are given out again in a later era
 * @param store the store's position at that time, which counts every change
 * @param age time since the read was sent, at the moment of saying so
 */
public record Confirmation(long configVersion, StorePosition store, Duration age) {
    /**
     * Returns when the configuration of the given version was the newest, as seen by the daemon
     * that had asked for this statement; empty if it says nothing of that version. The age counts
     * from when the daemon asked, since a statement may have been on its way for any time.
     */
    public Optional<ClockReading> confirms(long ownVersion, ClockReading askedAt) {
        return configVersion == ownVersion && !age.isNegative()
                ? Optional.of(askedAt.minus(age))
                : Optional.empty();
    }
}
