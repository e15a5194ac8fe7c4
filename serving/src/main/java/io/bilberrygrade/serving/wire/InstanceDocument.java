package io.bilberrygrade.serving.wire;

/**
 * Entry of the platform's instance list. {@code kind} is {@code entry} or {@code endpoint}, {@code
 * state} is {@code live} or {@code leaving}.
 */
public record InstanceDocument(
        String id, String dataCentre, String host, int port, String kind, String state) {}
