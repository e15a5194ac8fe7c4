package io.bilberrygrade.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * What a stream needs to be on time.
 *
 * @param strict whether a pass that is filled with reading makes it miss its pauses
 * @param goal time to its first event
 */
public record StreamNeed(PromptShape prompt, boolean strict, Duration goal) {
    /** Streams with a shorter pause goal are disturbed by the reading of long prompts. */
    private static final Duration STRICT_PAUSE = Duration.ofMillis(400);

    /** Returns the need of a stream with the given goals. */
    public static StreamNeed of(PromptShape prompt, Duration goal, Optional<Duration> pauseGoal) {
        boolean strict = pauseGoal.filter(p -> p.compareTo(STRICT_PAUSE) < 0).isPresent();
        return new StreamNeed(prompt, strict, goal);
    }
}
