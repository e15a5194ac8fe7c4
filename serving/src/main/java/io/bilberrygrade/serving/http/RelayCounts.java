package io.bilberrygrade.serving.http;

import java.time.Instant;
import java.util.Optional;

/**
 * Counts of an answer relayed to a caller: the time of its first token, its tokens, and how often a
 * token left a gap after its predecessor or repeated one.
 */
public record RelayCounts(Optional<Instant> firstToken, int tokens, int gaps, int repeats) {
    /** Counts before any token was relayed. */
    public static final RelayCounts NOTHING = new RelayCounts(Optional.empty(), 0, 0, 0);
}
