package io.bilberrygrade.serving.wire;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Entry of the platform's instance list. {@code kind} is {@code entry} or {@code endpoint}, {@code
 * state} is {@code live} or {@code leaving}.
 */
public record InstanceDocument(
        String id, String dataCentre, String host, int port, String kind, String state) {
    private static final String ENTRY = "entry";

    /** Returns whether the instance runs an entry daemon. */
    @JsonIgnore
    public boolean isEntry() {
        return kind.equals(ENTRY);
    }
}
