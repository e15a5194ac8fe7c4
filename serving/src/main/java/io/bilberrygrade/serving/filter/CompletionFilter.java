package io.bilberrygrade.serving.filter;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/**
 * Handles completion calls by running them on engines; passes every other call to the next filter.
 */
public final class CompletionFilter implements RequestFilter<Exchange> {
    private final CompletionDispatcher mDispatcher;

    /** Creates the filter. */
    public CompletionFilter(CompletionDispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        return switch (exchange.call()) {
            case Call.Service s -> next.proceed(exchange);
            case Call.Completion c -> run(exchange, c);
        };
    }

    private Uni<Outcome> run(Exchange exchange, Call.Completion call) {
        Optional<ModelId> model = model(exchange, call);
        if (model.isEmpty()) {
            String detail = "no model named '" + call.body().model().orElse("") + "'";
            return Uni.createFrom()
                    .item(Outcome.notRun(Step.CLASSIFY, Reason.UNKNOWN_MODEL, detail));
        }
        InferenceRequest request =
                new InferenceRequest(
                        exchange.id(),
                        exchange.team().id(),
                        exchange.workClass(),
                        model.get(),
                        call.body().prompt(),
                        exchange.arrival(),
                        exchange.deadline(),
                        exchange.headers().worth());
        return mDispatcher.dispatch(exchange, request);
    }

    private static Optional<ModelId> model(Exchange exchange, Call.Completion call) {
        ImmutableSet<ModelId> known = exchange.deployment().models().keySet();
        if (call.body().model().isEmpty() && known.size() == 1) {
            return known.stream().findFirst();
        }
        return call.body()
                .model()
                .filter(m -> !m.isEmpty())
                .map(ModelId::new)
                .filter(known::contains);
    }
}
