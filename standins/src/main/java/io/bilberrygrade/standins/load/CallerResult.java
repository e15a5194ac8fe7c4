package io.bilberrygrade.standins.load;

import java.time.Duration;
import java.util.Optional;

/**
 * Result of a request: its outcome, the times to the first token and to the end, the number of
 * tokens received, and whether they are all as expected.
 */
public record CallerResult(
        CallerOutcome outcome,
        String reason,
        Optional<Duration> timeToFirstToken,
        Duration total,
        int tokens,
        boolean isCorrect,
        Optional<Duration> retryAfter) {}
