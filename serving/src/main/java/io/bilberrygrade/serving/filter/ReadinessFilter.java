package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.controller.DrainController;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * Refuses requests while the daemon is starting or draining, and counts the running ones. A request
 * counts as running until its answer is written, so that a shutdown doesn't truncate it.
 */
public final class ReadinessFilter implements RequestFilter<Exchange> {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final DrainController mDrain;

    /** Creates the filter. */
    public ReadinessFilter(DrainController drain) {
        mDrain = drain;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        if (!mDrain.isAccepting() && !(mDrain.isDraining() && hasKey(exchange))) {
            Reason reason = mDrain.isDraining() ? Reason.DRAINING : Reason.NOT_READY;
            return Uni.createFrom()
                    .item(
                            Outcome.notRun(
                                    Step.ADMISSION,
                                    reason,
                                    "this instance takes no new requests",
                                    RETRY_AFTER));
        }
        mDrain.recordStart();
        exchange.sink().onWritten(mDrain::recordEnd);
        return next.proceed(exchange);
    }

    /**
     * Returns whether the call is under a key. Only the key's home knows whether the call is new,
     * and it refuses new ones itself while it is draining.
     */
    private static boolean hasKey(Exchange exchange) {
        return exchange.call() instanceof Call.Service
                && exchange.headers().idempotencyKey().isPresent();
    }
}
