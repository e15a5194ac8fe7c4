package io.bilberrygrade.serving.wire;

/** Order to an engine. {@code fencingToken} is the version of the published configuration. */
public record OrderDocument(
        OrderKind kind,
        String model,
        String adapter,
        long version,
        String role,
        long fencingToken) {}
