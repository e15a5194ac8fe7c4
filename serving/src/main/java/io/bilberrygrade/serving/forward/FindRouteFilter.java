package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/**
 * Finds the route of a request. Reports an unknown service only while the configuration is known to
 * be current.
 */
final class FindRouteFilter implements RequestFilter<ForwardExchange> {
    private final StateController mState;

    FindRouteFilter(StateController state) {
        mState = state;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        RequestHead head = exchange.head();
        Optional<Route> route =
                exchange.config().orElseThrow().routes().find(head.host(), head.uri());
        if (route.isPresent()) {
            exchange.setRoute(route.get());
            return next.proceed(exchange);
        }
        return Refusals.notRunUnlessStale(
                mState, Step.ROUTE, Reason.UNKNOWN_SERVICE, "no route for this host and path");
    }
}
