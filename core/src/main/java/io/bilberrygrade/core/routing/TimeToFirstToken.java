package io.bilberrygrade.core.routing;

import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.request.Prompt;
import java.time.Duration;

/** Predicts the time to first token of a prompt on one engine. */
final class TimeToFirstToken {
    private static final int CHUNK_TOKENS = 4_096;
    private static final Duration PER_RUNNING_REQUEST = Duration.ofNanos(200_000);
    private static final Duration PER_MISSING_MEMORY = Duration.ofSeconds(10);

    private TimeToFirstToken() {}

    /** Returns the predicted time; {@code cachedTokens} of the prompt need no prefill. */
    static Duration predict(EndpointView engine, Prompt prompt, Lane lane, double cachedTokens) {
        double uncached = Math.max(1, prompt.tokens() - cachedTokens);
        return backlog(engine, lane)
                .plus(engine.rate().timeFor(uncached))
                .plus(PER_RUNNING_REQUEST.multipliedBy(engine.runningRequests()))
                .plus(memoryWait(engine, prompt));
    }

    /** Returns the time until the engine starts a new request of the lane. */
    static Duration backlog(EndpointView engine, Lane lane) {
        double ahead = engine.backlog().ahead(lane);
        double otherLane = engine.backlog().ahead(Lane.LONG) - ahead;
        double halfChunk = Math.min(otherLane, CHUNK_TOKENS) / 2;
        return engine.rate().timeFor(ahead + halfChunk);
    }

    /**
     * Returns the expected wait for memory, which ends as the answers that hold it finish. Their
     * lengths are unknown, so the wait is proportional to the missing memory.
     */
    private static Duration memoryWait(EndpointView engine, Prompt prompt) {
        long missing = prompt.memoryTokens() - engine.freeTokens();
        if (missing <= 0) {
            return Duration.ZERO;
        }
        double missingFraction = (double) missing / engine.endpoint().memoryTokens();
        return Duration.ofNanos((long) (PER_MISSING_MEMORY.toNanos() * missingFraction));
    }
}
