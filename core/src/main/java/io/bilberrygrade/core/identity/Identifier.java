package io.bilberrygrade.core.identity;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.function.Function;

/** Typed identifier, so that identifiers of different things can't be confused. */
public interface Identifier {
    /** Maximum length of an identifier in characters. */
    int MAX_LENGTH_CHARS = 128;

    /** Returns the text of the identifier. */
    String value();

    /** Throws {@link IllegalArgumentException} if an identifier is empty or too long. */
    static void check(String value) {
        checkArgument(!value.isEmpty(), "an identifier must not be empty");
        checkArgument(
                value.length() <= MAX_LENGTH_CHARS,
                "an identifier has at most %s characters",
                MAX_LENGTH_CHARS);
    }

    /** Creates an identifier from a text of another writer; empty if it is null or invalid. */
    static <T extends Identifier> Optional<T> tryCreate(String text, Function<String, T> type) {
        try {
            return Optional.ofNullable(text).map(type);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
