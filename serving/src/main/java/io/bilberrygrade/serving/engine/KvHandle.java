package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.identity.Address;

/** Handle of a KV cache that an engine holds for export. */
public record KvHandle(Address engine, String handle, long tokens) {}
