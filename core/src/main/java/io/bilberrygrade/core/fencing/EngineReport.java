package io.bilberrygrade.core.fencing;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.ModelId;
import java.util.Optional;

/**
 * What an engine says of itself: what it has loaded, its role and the highest token it has seen.
 */
public record EngineReport(ImmutableSet<Loaded> loaded, String role, long highestToken) {
    /** A model, or an adapter of a model, in the version that is loaded. */
    public record Loaded(ModelId model, Optional<String> adapter, long version) {}
}
