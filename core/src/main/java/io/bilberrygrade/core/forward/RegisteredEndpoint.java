package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Registration entry that an endpoint publishes about itself.
 *
 * @param startedAtMillis Unix time of its start in milliseconds, which identifies its run; 0 if it
 *     doesn't report one
 * @param slots requests that it runs concurrently
 * @param leaving whether it asks for no new work
 * @param coldLeft time for which it stays cold, from when the entry is read; empty if it doesn't
 *     say
 */
public record RegisteredEndpoint(
        EndpointId id,
        long startedAtMillis,
        ServiceId service,
        Address address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving,
        Optional<Duration> coldLeft) {
    /** Creates an entry that doesn't say whether the endpoint is cold. */
    public RegisteredEndpoint(
            EndpointId id,
            long startedAtMillis,
            ServiceId service,
            Address address,
            DataCentreId dataCentre,
            int slots,
            boolean leaving) {
        this(id, startedAtMillis, service, address, dataCentre, slots, leaving, Optional.empty());
    }

    /** Returns the run that published this entry. */
    public EndpointRun run() {
        return new EndpointRun(id, startedAtMillis);
    }

    /** Returns whether the other entry belongs to the same run of the endpoint. */
    public boolean sameRun(RegisteredEndpoint other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
