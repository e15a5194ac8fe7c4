package io.bilberrygrade.serving.contention;

import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * A request that arrived and hasn't been sent.
 *
 * @param bodyBytes its length where it states no prompt
 * @param digest identifies the request however often it is sent; asked for only if needed, since
 *     the whole body is read for it
 */
public record Arrival(
        String id,
        Route route,
        ForwardService service,
        Rank rank,
        Optional<TeamId> team,
        Optional<PromptShape> prompt,
        long bodyBytes,
        Duration timeLeft,
        LongSupplier digest) {
    /** Returns the needs of a stream; empty for a plain service. */
    Optional<StreamNeed> need() {
        return service.engine()
                .flatMap(c -> prompt)
                .map(p -> StreamNeed.of(p, route.goal(), route.gapGoal()));
    }

    long length() {
        return need().map(n -> n.prompt().promptTokens()).orElse(bodyBytes);
    }
}
