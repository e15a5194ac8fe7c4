package io.bilberrygrade.serving.http;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.Exchange;
import java.time.Instant;

/** Notifies several observers in order. */
public record CompositeRequestObserver(ImmutableList<RequestObserver> observers)
        implements RequestObserver {
    @Override
    public void onStarted(Exchange exchange) {
        observers.forEach(o -> o.onStarted(exchange));
    }

    @Override
    public void onEnded(Exchange exchange, RelayCounts relayCounts, Outcome outcome, Instant now) {
        observers.forEach(o -> o.onEnded(exchange, relayCounts, outcome, now));
    }

    @Override
    public void onRefused(RequestId id, Outcome outcome, Instant now) {
        observers.forEach(o -> o.onRefused(id, outcome, now));
    }
}
