package io.bilberrygrade.serving.wire;

/** Reference to a published configuration part in a manifest. */
public record PartReference(String key, long version, String digest) {}
