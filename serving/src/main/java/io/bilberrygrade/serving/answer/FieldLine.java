package io.bilberrygrade.serving.answer;

import com.google.common.base.CharMatcher;

/**
 * Field of a head or of trailers (RFC 9110, section 5).
 *
 * @param name name as it was sent
 * @param value value without blanks around it
 */
record FieldLine(String name, String value) {
    /** Characters of values and reasons: visible ones, blanks and tabs, and bytes over 127. */
    static final CharMatcher TEXT =
            CharMatcher.is('\t')
                    .or(CharMatcher.inRange(' ', '~'))
                    .or(CharMatcher.inRange('\u0080', '\u00ff'))
                    .precomputed();

    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

    /** Parses a line without its end. */
    static FieldLine parse(String line) {
        int colon = line.indexOf(':');
        String name = colon < 0 ? line : line.substring(0, colon);
        return new FieldLine(BLANK.trimFrom(name), BLANK.trimFrom(line.substring(colon + 1)));
    }

    /** Returns whether the field has the given name. */
    boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
