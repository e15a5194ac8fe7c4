package io.bilberrygrade.core.fencing;

import io.bilberrygrade.core.identity.ModelId;

/** Order to a model engine. */
public sealed interface Order {
    /** Loads a version of a model, replacing any other version. */
    record LoadModel(ModelId model, long version) implements Order {}

    /** Loads an adapter for a version of a model. */
    record LoadAdapter(ModelId model, String adapter, long version) implements Order {}

    /** Unloads a model. */
    record UnloadModel(ModelId model) implements Order {}

    /** Changes the engine's role. */
    record SetRole(String role) implements Order {}

    /** Returns whether the engine reads the weight store to execute the order. */
    default boolean readsWeights() {
        return this instanceof LoadModel || this instanceof LoadAdapter;
    }
}
