package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.ratelimit.PermitGrant;
import io.bilberrygrade.core.ratelimit.PermitRequest;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.core.ratelimit.RateLimitStatement;
import io.bilberrygrade.serving.peer.PermitGrantEntry;
import io.bilberrygrade.serving.peer.PermitRequestEntry;
import io.bilberrygrade.serving.peer.RateLimitEntry;
import io.bilberrygrade.serving.peer.StatedAge;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Converts between messages about rate-limited endpoints and the domain types. */
final class RateLimitCodec {
    private RateLimitCodec() {}

    /** Encodes statements with their age, since the clocks of daemons differ. */
    static ImmutableList<RateLimitEntry> entries(
            ImmutableList<RateLimitStatement> statements, Instant now) {
        return statements.stream()
                .map(
                        s ->
                                new RateLimitEntry(
                                        s.run().id().value(),
                                        s.run().startedAtMillis(),
                                        s.limit()
                                                .map(RateLimit::perSecond)
                                                .orElse(RateLimitEntry.ENDED),
                                        Duration.between(s.statedAt(), now).toMillis()))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<RateLimitStatement> statements(List<RateLimitEntry> entries, Instant now) {
        return entries.stream()
                .map(
                        e ->
                                new RateLimitStatement(
                                        run(e.endpoint(), e.startedAtMillis()),
                                        Optional.of(new RateLimit(e.perSecond()))
                                                .filter(l -> l.perSecond() >= 0),
                                        now.minus(StatedAge.ofMillis(e.ageMillis()))))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<PermitRequestEntry> requests(
            ImmutableMap<EndpointRun, PermitRequest> requests) {
        return requests.entrySet().stream()
                .map(
                        e ->
                                new PermitRequestEntry(
                                        e.getKey().id().value(),
                                        e.getKey().startedAtMillis(),
                                        e.getValue().wanted(),
                                        e.getValue().starved()))
                .collect(ImmutableList.toImmutableList());
    }

    static PermitRequest request(PermitRequestEntry entry) {
        return new PermitRequest(Math.max(0, entry.wanted()), entry.starved());
    }

    static PermitGrantEntry entry(EndpointRun run, PermitGrant grant) {
        return new PermitGrantEntry(
                run.id().value(),
                run.startedAtMillis(),
                grant.permits(),
                grant.nextIn().map(Duration::toMillis).orElse(PermitGrantEntry.NONE));
    }

    static PermitGrant grant(PermitGrantEntry entry) {
        return new PermitGrant(
                entry.permits(),
                Optional.of(entry.nextMillis()).filter(m -> m >= 0).map(Duration::ofMillis));
    }

    static EndpointRun run(String endpoint, long startedAtMillis) {
        return new EndpointRun(new EndpointId(endpoint), startedAtMillis);
    }
}
