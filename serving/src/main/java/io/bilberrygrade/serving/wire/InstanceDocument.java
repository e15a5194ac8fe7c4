package io.bilberrygrade.serving.wire;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.bilberrygrade.core.identity.Address;
import java.util.Optional;

/**
 * Entry of the platform's instance list. {@code kind} is {@code entry} or {@code endpoint}, {@code
 * state} is {@code live} or {@code leaving}.
 */
public record InstanceDocument(
        String id, String dataCentre, String host, int port, String kind, String state) {
    private static final String ENTRY = "entry";

    /** Returns the address of the instance; empty if it isn't one. */
    @JsonIgnore
    public Optional<Address> address() {
        return Address.tryParseRemote(host + ":" + port);
    }

    /** Returns whether the instance runs an entry daemon. */
    @JsonIgnore
    public boolean isEntry() {
        return kind.equals(ENTRY);
    }
}
