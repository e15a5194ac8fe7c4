package io.bilberrygrade.serving.wire;

/** Reference of one published configuration part within a manifest. */
public record PartReference(String key, long version, String digest) {}
