package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/** Resolves the work class named by the caller; refuses requests with an unknown one. */
public final class ClassifyFilter implements RequestFilter<Exchange> {
    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        Optional<WorkClass> workClass =
                exchange.headers()
                        .workClass()
                        .filter(name -> !name.isEmpty())
                        .map(WorkClassId::new)
                        .flatMap(id -> find(exchange, id));
        if (workClass.isEmpty()) {
            String detail =
                    "no class of work named '" + exchange.headers().workClass().orElse("") + "'";
            return Uni.createFrom()
                    .item(Outcome.notRun(Step.CLASSIFY, Reason.UNKNOWN_CLASS, detail));
        }
        exchange.setWorkClass(workClass.get());
        return next.proceed(exchange);
    }

    private static Optional<WorkClass> find(Exchange exchange, WorkClassId id) {
        return Optional.ofNullable(exchange.deployment().classes().get(id));
    }
}
