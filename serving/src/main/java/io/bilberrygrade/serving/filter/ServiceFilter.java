package io.bilberrygrade.serving.filter;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.service.PlainService;
import io.bilberrygrade.serving.service.ServiceCall;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;

/**
 * Answers calls of plain services. A call is sent to another instance only when the first one
 * certainly did not run it.
 */
public final class ServiceFilter implements RequestFilter {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final PlainService mService;
    private final EndpointController mEndpoints;
    private final InstantSource mClock;

    /** Creates the filter. */
    public ServiceFilter(PlainService service, EndpointController endpoints, InstantSource clock) {
        mService = service;
        mEndpoints = endpoints;
        mClock = clock;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain next) {
        return switch (exchange.call()) {
            case Call.Completion c -> next.proceed(exchange);
            case Call.Service s -> run(exchange, s);
        };
    }

    private Uni<Outcome> run(Exchange exchange, Call.Service call) {
        ImmutableList<Endpoint> instances = exchange.deployment().instancesOf(call.service());
        if (instances.isEmpty()) {
            String detail = "no service named '" + call.service() + "'";
            return Uni.createFrom()
                    .item(Outcome.notRun(Step.ROUTE, Reason.UNKNOWN_SERVICE, detail));
        }
        return attempt(exchange, call, instances);
    }

    private Uni<Outcome> attempt(
            Exchange exchange, Call.Service call, ImmutableList<Endpoint> instances) {
        Instant now = mClock.instant();
        Optional<Endpoint> chosen = choose(instances, now);
        if (chosen.isEmpty()) {
            return Uni.createFrom()
                    .item(
                            Outcome.notRun(
                                    Step.ROUTE,
                                    Reason.NO_ENDPOINT,
                                    "no instance of the service is available",
                                    RETRY_AFTER));
        }
        Endpoint endpoint = chosen.get();
        mEndpoints.dispatched(endpoint.id(), now);
        return mService.call(endpoint, serviceCall(exchange, call, now))
                .invoke(a -> mEndpoints.succeeded(endpoint.id()))
                .invoke(exchange.sink()::serviceAnswer)
                .<Outcome>map(a -> new Outcome.Done(0))
                .onTermination()
                .invoke(() -> mEndpoints.finished(endpoint.id()))
                .onFailure(CallException.class)
                .recoverWithUni(
                        e -> failed(exchange, call, instances, endpoint, (CallException) e));
    }

    private static ServiceCall serviceCall(Exchange exchange, Call.Service call, Instant now) {
        return new ServiceCall(
                exchange.id(),
                call.operation(),
                exchange.headers().idempotencyKey(),
                Duration.between(now, exchange.deadline()),
                exchange.body());
    }

    private Optional<Endpoint> choose(ImmutableList<Endpoint> instances, Instant now) {
        return instances.stream()
                .map(e -> mEndpoints.view(e, now))
                .filter(EndpointView::available)
                .min(Comparator.comparingInt(EndpointView::ownRequests))
                .map(EndpointView::endpoint);
    }

    private Uni<Outcome> failed(
            Exchange exchange,
            Call.Service call,
            ImmutableList<Endpoint> instances,
            Endpoint endpoint,
            CallException e) {
        Instant now = mClock.instant();
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            mEndpoints.failed(endpoint.id(), now);
            return Uni.createFrom()
                    .item(
                            Outcome.unknown(
                                    Step.DISPATCH,
                                    Reason.ENDPOINT_FAILED,
                                    e.getMessage(),
                                    endpoint.id().value()));
        }
        ImmutableList<Endpoint> others =
                instances.stream()
                        .filter(i -> !i.equals(endpoint))
                        .collect(ImmutableList.toImmutableList());
        if (e.delivery() == Delivery.NOT_DELIVERED) {
            mEndpoints.failed(endpoint.id(), now);
        }
        return attempt(exchange, call, others);
    }
}
