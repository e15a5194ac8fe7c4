package io.bilberrygrade.core.fencing;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.ModelId;
import java.util.Optional;

/**
 * State that an engine reports: what it has loaded, its role and the highest fencing token that it
 * has seen.
 */
public record EngineReport(ImmutableSet<Loaded> loaded, String role, long highestToken) {
    /** Loaded model, or adapter of a model, and its version. */
    public record Loaded(ModelId model, Optional<String> adapter, long version) {}
}
