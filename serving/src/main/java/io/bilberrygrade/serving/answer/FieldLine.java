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

    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();

    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

    /**
     * Parses a line without its end. A line that continues the one before it, which the protocol
     * has deprecated, is malformed.
     */
    static FieldLine parse(String line) throws MalformedAnswerException {
        int colon = line.indexOf(':');
        if (colon <= 0) {
            throw new MalformedAnswerException("a line of the head has no field name");
        }
        String name = line.substring(0, colon);
        if (!TOKEN.matchesAllOf(name)) {
            throw new MalformedAnswerException("a field name holds a blank or a control character");
        }
        String value = line.substring(colon + 1);
        if (!TEXT.matchesAllOf(value)) {
            throw new MalformedAnswerException("the field " + name + " holds a control character");
        }
        return new FieldLine(name, BLANK.trimFrom(value));
    }

    /** Returns whether the field has the given name. */
    boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
