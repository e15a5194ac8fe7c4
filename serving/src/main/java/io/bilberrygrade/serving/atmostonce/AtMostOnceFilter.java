package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.bilberrygrade.serving.service.ServiceAnswer;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/**
 * Handles calls to plain services under their idempotency key; passes every other call to the next
 * filter.
 */
public final class AtMostOnceFilter implements RequestFilter<Exchange> {
    private final KeyRouter mRouter;

    /** Creates the filter. */
    public AtMostOnceFilter(KeyRouter router) {
        mRouter = router;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        return switch (exchange.call()) {
            case Call.Completion c -> next.proceed(exchange);
            case Call.Service s -> run(exchange, s);
        };
    }

    private Uni<Outcome> run(Exchange exchange, Call.Service call) {
        Optional<String> text = exchange.headers().idempotencyKey();
        if (text.isEmpty()) {
            return refuse(exchange, Reason.KEY_MISSING, "the call states no Idempotency-Key");
        }
        if (exchange.body().length() > KeyRouter.MAX_BODY_BYTES) {
            return refuse(exchange, Reason.TOO_LARGE, "the body is over the limit");
        }
        Optional<IdempotencyKey> key = mRouter.validKey(text.get(), exchange.team().id());
        if (key.isEmpty()) {
            return refuse(
                    exchange, Reason.KEY_INVALID, "the key was not issued to the team at /v1/keys");
        }
        return mRouter.submit(key.get(), submission(exchange, call, text.get()))
                .map(o -> answer(exchange, o, key.get().home().value()));
    }

    private static KeyedSubmission submission(Exchange exchange, Call.Service call, String key) {
        return new KeyedSubmission(
                exchange.id(),
                exchange.team().id(),
                key,
                call.service(),
                call.operation(),
                exchange.deadline(),
                exchange.body());
    }

    private static Outcome answer(Exchange exchange, KeyedOutcome outcome, String home) {
        if (outcome instanceof KeyedOutcome.Done d) {
            ServiceAnswer answer =
                    new ServiceAnswer(d.status(), d.contentType(), d.body().toBuffer());
            exchange.sink().serviceAnswer(answer);
        }
        exchange.confirmNotRun();
        return KeyedOutcomes.toOutcome(outcome, home);
    }

    /** Refuses a call that no daemon would ever run, so the refusal is final. */
    private static Uni<Outcome> refuse(Exchange exchange, Reason reason, String detail) {
        exchange.confirmNotRun();
        return Uni.createFrom().item(Outcome.notRun(Step.AT_MOST_ONCE, reason, detail));
    }
}
