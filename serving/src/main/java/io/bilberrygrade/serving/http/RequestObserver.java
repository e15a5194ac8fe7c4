package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.Exchange;
import java.time.Instant;

/** Is told of each request and of its outcome, for logs, metrics and reports. */
public interface RequestObserver {
    /** A request enters the chain. */
    void started(Exchange exchange);

    /** A request that passed through the chain has its outcome. */
    void ended(Exchange exchange, Relayed relayed, Outcome outcome, Instant now);

    /** A request was refused before it entered the chain. */
    void refused(RequestId id, Outcome outcome, Instant now);
}
