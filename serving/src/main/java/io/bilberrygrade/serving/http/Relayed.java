package io.bilberrygrade.serving.http;

import java.time.Instant;
import java.util.Optional;

/**
 * What was passed on to a caller: when the first token left, how many tokens did, and how often one
 * did not follow the one before.
 */
public record Relayed(Optional<Instant> firstToken, int tokens, int gaps, int repeats) {
    /** Nothing was passed on. */
    public static final Relayed NOTHING = new Relayed(Optional.empty(), 0, 0, 0);
}
