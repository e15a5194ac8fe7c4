package io.bilberrygrade.core.identity;

import static com.google.common.base.Preconditions.checkArgument;

/** Value that names one thing, typed so that names of different things can't be confused. */
public interface Identifier {
    /** Longest accepted identifier in characters. */
    int MAX_LENGTH_CHARS = 128;

    /** Returns the text of the identifier. */
    String value();

    /**
     * Refuses an identifier that is empty or over-long, with an {@link IllegalArgumentException}.
     */
    static void check(String value) {
        checkArgument(!value.isEmpty(), "an identifier must not be empty");
        checkArgument(
                value.length() <= MAX_LENGTH_CHARS,
                "an identifier has at most %s characters",
                MAX_LENGTH_CHARS);
    }
}
