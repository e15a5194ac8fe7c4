package io.bilberrygrade.core.ratelimit;

import java.time.Duration;
import java.util.Optional;

/**
 * Answer to a {@link PermitRequest}.
 *
 * @param permits number of requests that the daemon may send
 * @param nextIn time until another permit can be handed out; zero if there are some left, empty if
 *     the aggregator can't hand out any
 */
public record PermitGrant(int permits, Optional<Duration> nextIn) {}
