package io.bilberrygrade.serving.filter;

import com.google.common.hash.Hashing;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Team;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Identifies the caller's team by its credential; refuses requests without a known one. */
public final class IdentifyFilter implements RequestFilter<Exchange> {
    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        Optional<Team> team = team(exchange.deployment(), exchange.headers().credential());
        if (team.isEmpty()) {
            return Uni.createFrom()
                    .item(
                            Outcome.notRun(
                                    Step.IDENTIFY,
                                    Reason.BAD_CREDENTIALS,
                                    "the credential belongs to no team"));
        }
        exchange.setTeam(team.get());
        return next.proceed(exchange);
    }

    /** Returns the team that a credential belongs to. */
    public static Optional<Team> team(Deployment deployment, Optional<String> credential) {
        return credential.map(IdentifyFilter::digest).flatMap(deployment::teamByCredentialDigest);
    }

    private static String digest(String credential) {
        return Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString();
    }
}
