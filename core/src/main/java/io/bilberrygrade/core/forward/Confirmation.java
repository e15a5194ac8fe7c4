package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Peer's report of its last linearizable read of the configuration. Daemons that can't reach the
 * store use it to keep accepting keys.
 *
 * @param configVersion version of the latest configuration that the read found; versions identify
 *     configurations, since revisions are reused in a later era
 * @param store position of the store at the time of the read, which covers every change
 * @param age time since the read was sent, measured when the report is made
 */
public record Confirmation(long configVersion, StorePosition store, Duration age) {
    /**
     * Returns the time at which the given version was confirmed to be the latest, on the clocks of
     * the daemon that requested the report; empty if the report is for another version. The age is
     * subtracted from the time of the request rather than of the reply, since the reply may have
     * been delayed arbitrarily.
     */
    public Optional<ClockReading> confirms(long ownVersion, ClockReading requestedAt) {
        return configVersion == ownVersion && !age.isNegative()
                ? Optional.of(requestedAt.minus(age))
                : Optional.empty();
    }
}
