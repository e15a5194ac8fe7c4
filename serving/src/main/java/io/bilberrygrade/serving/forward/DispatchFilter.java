package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;

/** Sends requests to endpoints. Last filter of the chain. */
final class DispatchFilter implements RequestFilter<ForwardExchange> {
    private final ForwardContext mContext;

    DispatchFilter(ForwardContext context) {
        mContext = context;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            ForwardOperation operation =
                                    new ForwardOperation(mContext, exchange, e::complete);
                            exchange.guard().run(operation::start);
                        });
    }
}
