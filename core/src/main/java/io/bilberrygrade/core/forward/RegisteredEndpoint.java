package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;

/**
 * What an endpoint says of itself.
 *
 * @param startedAtMillis Unix time of its start, which tells its runs apart; 0 if it says none
 * @param slots requests that it runs at once
 * @param leaving whether it asks for no new work
 */
public record RegisteredEndpoint(
        EndpointId id,
        long startedAtMillis,
        ServiceId service,
        Address address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving) {
    /** Returns the run that says this. */
    public EndpointRun run() {
        return new EndpointRun(id, startedAtMillis);
    }

    /** Returns whether the other entry is of the same run of the endpoint. */
    public boolean sameRun(RegisteredEndpoint other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
