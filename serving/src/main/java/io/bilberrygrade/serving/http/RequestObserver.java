package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.Exchange;
import java.time.Instant;

/** Receives each request and its outcome, for logs, metrics and reports. */
public interface RequestObserver {
    /** Called when a request enters the filter chain. */
    void onStarted(Exchange exchange);

    /** Called when a request has left the filter chain with its outcome. */
    void onEnded(Exchange exchange, RelayCounts relayCounts, Outcome outcome, Instant now);

    /** Called when a request is refused before it enters the filter chain. */
    void onRefused(RequestId id, Outcome outcome, Instant now);
}
