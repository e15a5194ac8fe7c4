package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Change of an endpoint's published entry, serialized as an array to keep messages small. A deleted
 * entry has no service and no address. {@code coldLeftMillis} is null if the entry doesn't say
 * whether the endpoint is cold.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "endpoint",
    "startedAtMillis",
    "service",
    "address",
    "dataCentre",
    "slots",
    "leaving",
    "coldLeftMillis"
})
public record EndpointChangeEntry(
        String endpoint,
        long startedAtMillis,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        Long coldLeftMillis) {}
