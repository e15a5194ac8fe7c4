package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.request.Outcome;
import io.smallrye.mutiny.Uni;

/** One step of the filter chain: answers the request itself or lets the next step do so. */
public interface RequestFilter {
    /** Handles the exchange and returns its outcome. */
    Uni<Outcome> handle(Exchange exchange, FilterChain next);
}
