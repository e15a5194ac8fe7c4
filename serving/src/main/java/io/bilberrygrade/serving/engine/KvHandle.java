package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.identity.Address;

/** KV cache that an engine holds ready for export. */
public record KvHandle(Address engine, String handle, long tokens) {}
