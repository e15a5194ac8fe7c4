package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Resource needs and latency target of a stream.
 *
 * @param strict whether a pass that is filled with prefill makes the stream miss its gap goal
 * @param goal target for the time to its first event
 */
public record StreamNeed(PromptShape prompt, boolean strict, Duration goal) {
    /** Streams with a shorter gap goal are disturbed by the prefill of long prompts. */
    private static final Duration STRICT_GAP_LIMIT = Duration.ofMillis(400);

    /** Returns the needs of a stream with the given goals. */
    public static StreamNeed of(PromptShape prompt, Duration goal, Optional<Duration> gapGoal) {
        boolean strict = gapGoal.filter(p -> p.compareTo(STRICT_GAP_LIMIT) < 0).isPresent();
        return new StreamNeed(prompt, strict, goal);
    }
}
