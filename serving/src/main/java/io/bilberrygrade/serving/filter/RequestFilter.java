package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.request.Outcome;
import io.smallrye.mutiny.Uni;

/**
 * Step of the filter chain, which either answers a request or passes it to the next step.
 *
 * @param <X> the state of a request that the filters share
 */
public interface RequestFilter<X> {
    /** Handles the exchange and returns its outcome. */
    Uni<Outcome> handle(X exchange, FilterChain<X> next);
}
