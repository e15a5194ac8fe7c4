package io.bilberrygrade.serving.wire;

/** Model, adapter and version that an engine has loaded. */
public record LoadedModel(String model, String adapter, long version) {}
