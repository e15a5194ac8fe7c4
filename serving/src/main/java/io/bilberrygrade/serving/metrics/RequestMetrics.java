package io.bilberrygrade.serving.metrics;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.http.RequestObserver;
import java.time.Duration;
import java.time.Instant;

/** Counts and logs the outcomes of requests. */
public final class RequestMetrics implements RequestObserver {
    private final MetricRegistry mRegistry;
    private final EventLog mEvents;

    /** Creates the observer over a registry. */
    public RequestMetrics(MetricRegistry registry, EventLog events) {
        mRegistry = registry;
        mEvents = events;
    }

    @Override
    public void ended(Exchange exchange, Outcome outcome, Instant now) {
        if (outcome instanceof Outcome.Done d) {
            mRegistry.counter("requests.done").inc();
            mEvents.record(
                    new RequestEvent.Done(
                            exchange.id().value(),
                            exchange.team().id().value(),
                            exchange.workClass().id().value(),
                            d.tokens(),
                            Duration.between(exchange.arrival(), now).toMillis()));
            return;
        }
        refused(exchange.id(), outcome);
    }

    @Override
    public void refused(RequestId id, Outcome outcome) {
        switch (outcome) {
            case Outcome.NotRun n -> {
                mRegistry.counter("requests.not-run." + n.reason()).inc();
                mEvents.record(
                        new RequestEvent.NotRun(
                                id.value(), n.step().name(), n.reason().name(), n.detail()));
            }
            case Outcome.Unknown u -> {
                mRegistry.counter("requests.unknown." + u.reason()).inc();
                mEvents.record(
                        new RequestEvent.Unknown(
                                id.value(), u.step().name(), u.reason().name(), u.detail()));
            }
            case Outcome.Done d -> mRegistry.counter("requests.done").inc();
        }
    }
}
