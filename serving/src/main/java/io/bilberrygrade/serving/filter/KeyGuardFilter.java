package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.request.Outcome;
import io.smallrye.mutiny.Uni;

/**
 * Reports the refusal of a call under a key as an unknown outcome unless it is confirmed, since an
 * earlier submission may have run through another daemon. The caller may always submit the call
 * again under the same key.
 */
public final class KeyGuardFilter implements RequestFilter<Exchange> {
    private final boolean mEnabled;

    /** Creates the filter, which must be the first of the chain. */
    public KeyGuardFilter(boolean enabled) {
        mEnabled = enabled;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        boolean hasKey =
                mEnabled
                        && exchange.call() instanceof Call.Service
                        && exchange.headers().idempotencyKey().isPresent();
        Uni<Outcome> outcome = next.proceed(exchange);
        return hasKey ? outcome.map(o -> unknownUnlessConfirmed(exchange, o)) : outcome;
    }

    private static Outcome unknownUnlessConfirmed(Exchange exchange, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun n && !exchange.isNotRunConfirmed()) {
            return new Outcome.Unknown(n.step(), n.reason(), n.detail(), n.peer(), n.retryAfter());
        }
        return outcome;
    }
}
