package io.bilberrygrade.serving.answer;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.List;

/**
 * Status line of an answer (RFC 9112, section 4).
 *
 * @param minorVersion minor version of HTTP/1
 * @param status status code, from 100 to 599
 */
record StatusLine(int minorVersion, int status) {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int PARTS = 3;

    private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');
    private static final Splitter PART_SPLITTER = Splitter.on(' ').limit(PARTS);

    /**
     * Parses a line without its end. The blank before an empty reason may be missing, as many
     * servers omit it.
     */
    static StatusLine parse(String line) throws MalformedAnswerException {
        List<String> parts = PART_SPLITTER.splitToList(line);
        String version = parts.get(0);
        boolean versionKnown =
                version.length() == VERSION_PREFIX.length() + 1
                        && version.startsWith(VERSION_PREFIX)
                        && DIGIT.matches(version.charAt(VERSION_PREFIX.length()));
        if (!versionKnown || parts.size() < 2) {
            throw new MalformedAnswerException("the answer doesn't begin with a status line");
        }
        if (parts.size() == PARTS && !FieldLine.TEXT.matchesAllOf(parts.get(2))) {
            throw new MalformedAnswerException("the reason holds a control character");
        }
        int minorVersion = Character.digit(version.charAt(VERSION_PREFIX.length()), 10);
        return new StatusLine(minorVersion, parseStatus(parts.get(1)));
    }

    private static int parseStatus(String text) throws MalformedAnswerException {
        if (text.length() == STATUS_DIGITS && DIGIT.matchesAllOf(text)) {
            int status = Integer.parseInt(text);
            if (status >= MIN_STATUS && status <= MAX_STATUS) {
                return status;
            }
        }
        throw new MalformedAnswerException("the status isn't a number from 100 to 599");
    }

    /** Returns whether another head follows for the same request. */
    boolean isInterim() {
        return status < MIN_FINAL_STATUS;
    }

    /** Returns whether the server leaves HTTP/1. */
    boolean switchesProtocols() {
        return status == SWITCHING_PROTOCOLS;
    }
}
