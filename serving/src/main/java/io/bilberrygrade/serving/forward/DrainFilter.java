package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;

/** Refuses new requests once the drain has closed admission. */
final class DrainFilter implements RequestFilter<ForwardExchange> {
    private final DrainController mDrain;

    DrainFilter(DrainController drain) {
        mDrain = drain;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        if (mDrain.isDraining()) {
            exchange.answer().closeConnectionAfterwards();
            return Refusals.notRun(
                    Step.ADMISSION, Reason.DRAINING, "this instance is about to stop");
        }
        return next.proceed(exchange);
    }
}
