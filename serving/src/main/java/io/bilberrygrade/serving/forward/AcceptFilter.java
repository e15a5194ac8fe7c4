package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.ShortList;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Logs each accepted request with its route, team, prompt size and deadline. */
final class AcceptFilter implements RequestFilter<ForwardExchange> {
    private final EventLog mEvents;

    AcceptFilter(EventLog events) {
        mEvents = events;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        mEvents.record(
                new ForwardEvent.Accepted(
                        exchange.id().value(),
                        exchange.route().name(),
                        exchange.team().map(TeamId::value).orElse("none"),
                        exchange.head().prompt().map(PromptShape::promptTokens).orElse(0L),
                        ShortList.of(exchange.head().sharedParts()),
                        Duration.between(exchange.arrival(), exchange.deadline()).toMillis(),
                        exchange.config().map(ForwardingConfig::version).orElse(0L)));
        return next.proceed(exchange);
    }
}
