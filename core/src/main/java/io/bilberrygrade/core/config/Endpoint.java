package io.bilberrygrade.core.config;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;

/** Endpoint that requests are routed to. */
public record Endpoint(EndpointId id, DataCentreId dataCentre, Address address, EndpointKind kind) {
    /** Returns the KV memory in tokens; a plain service has none. */
    public long memoryTokens() {
        return kind instanceof EndpointKind.Engine e ? e.memoryTokens() : 0;
    }
}
