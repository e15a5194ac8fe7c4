package io.bilberrygrade.core.config;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.ServiceId;

/** Kind of an endpoint, with the properties specific to that kind. */
public sealed interface EndpointKind {
    /**
     * Model engine. {@code memoryTokens} is its KV memory in tokens; {@code checksFencing} tells
     * whether it rejects orders with an old fencing token.
     */
    record Engine(
            ImmutableSet<ModelId> models, long memoryTokens, boolean checksFencing, String role)
            implements EndpointKind {
        /** Role of an engine that both prefills and decodes. */
        public static final String MIXED = "mixed";

        /** Creates an engine that both prefills and decodes. */
        public Engine(ImmutableSet<ModelId> models, long memoryTokens, boolean checksFencing) {
            this(models, memoryTokens, checksFencing, MIXED);
        }
    }

    /** Instance of a plain service. */
    record Service(ServiceId service) implements EndpointKind {}
}
