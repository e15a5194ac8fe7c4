package io.bilberrygrade.core.config;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.ModelId;

/** Model to be served, with the version and adapters that engines must have loaded. */
public record Model(ModelId id, long version, ImmutableSet<String> adapters) {}
