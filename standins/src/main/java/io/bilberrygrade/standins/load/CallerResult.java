package io.bilberrygrade.standins.load;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller got: the outcome, the time to the first token and to the end, the tokens received,
 * and whether each of them was the right one.
 */
public record CallerResult(
        CallerOutcome outcome,
        String reason,
        Optional<Duration> timeToFirstToken,
        Duration total,
        int tokens,
        boolean correct,
        Optional<Duration> retryAfter) {}
