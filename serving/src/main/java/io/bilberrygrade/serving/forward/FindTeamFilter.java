package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.KeyRing;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;
import java.util.Optional;

/** Finds the team that owns the request's key. */
final class FindTeamFilter implements RequestFilter<ForwardExchange> {
    private final StateController mState;

    FindTeamFilter(StateController state) {
        mState = state;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        KeyRing keys = exchange.config().orElseThrow().keys();
        if (exchange.route().open() || !keys.required()) {
            return next.proceed(exchange);
        }
        if (!mState.isFresh()) {
            return Refusals.notRun(
                    Step.IDENTIFY,
                    Reason.CONFIGURATION_STALE,
                    "keys can't be checked, since the store is out of reach");
        }
        Optional<TeamId> team = exchange.head().key().flatMap(keys::team);
        if (team.isEmpty()) {
            return Refusals.notRunUnlessStale(
                    mState, Step.IDENTIFY, Reason.BAD_CREDENTIALS, "the key is unknown");
        }
        exchange.setTeam(team.get());
        return next.proceed(exchange);
    }
}
