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
    private final RunningRequests mRunning;

    DrainFilter(DrainController drain, RunningRequests running) {
        mDrain = drain;
        mRunning = running;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        if (mDrain.isDraining()) {
            exchange.answer().closeConnectionAfterwards();
            return Refusals.notRun(Step.ADMISSION, Reason.DRAINING, Refusals.STOPPING);
        }
        mRunning.add(exchange);
        return next.proceed(exchange).onTermination().invoke(() -> mRunning.remove(exchange));
    }
}
