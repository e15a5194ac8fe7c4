package io.bilberrygrade.serving.filter;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.Outcome;
import io.smallrye.mutiny.Uni;

/**
 * Remaining filters of a request.
 *
 * @param <X> the state of a request that the filters share
 */
public final class FilterChain<X> {
    private final ImmutableList<RequestFilter<X>> mFilters;
    private final int mPosition;

    /** Creates a chain; the last filter must answer every request. */
    public FilterChain(ImmutableList<RequestFilter<X>> filters) {
        this(filters, 0);
    }

    private FilterChain(ImmutableList<RequestFilter<X>> filters, int position) {
        mFilters = filters;
        mPosition = position;
    }

    /** Passes the exchange to the next filter. */
    public Uni<Outcome> proceed(X exchange) {
        FilterChain<X> rest = new FilterChain<>(mFilters, mPosition + 1);
        return mFilters.get(mPosition).handle(exchange, rest);
    }
}
