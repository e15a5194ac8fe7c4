package io.bilberrygrade.core.ratelimit;

import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Instant;
import java.util.Optional;

/**
 * What an answer of an endpoint's run stated about its rate limit.
 *
 * @param limit the limit; empty if the run has stopped stating one
 * @param statedAt when a daemon received the answer, on the clock of the daemon that holds this
 *     record
 */
public record RateLimitStatement(EndpointRun run, Optional<RateLimit> limit, Instant statedAt) {}
