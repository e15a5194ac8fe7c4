package io.bilberrygrade.serving.filter;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.Outcome;
import io.smallrye.mutiny.Uni;

/** The filters that are still to come for a request. */
public final class FilterChain {
    private final ImmutableList<RequestFilter> mFilters;
    private final int mPosition;

    /** Creates a chain; the last filter must answer every request. */
    public FilterChain(ImmutableList<RequestFilter> filters) {
        this(filters, 0);
    }

    private FilterChain(ImmutableList<RequestFilter> filters, int position) {
        mFilters = filters;
        mPosition = position;
    }

    /** Passes the exchange to the next filter. */
    public Uni<Outcome> proceed(Exchange exchange) {
        FilterChain rest = new FilterChain(mFilters, mPosition + 1);
        return mFilters.get(mPosition).handle(exchange, rest);
    }
}
