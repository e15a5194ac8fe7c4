package io.bilberrygrade.serving.answer;

import com.google.common.base.CharMatcher;
import java.util.Optional;
import java.util.OptionalLong;

/** Checks the lines of one head and derives the framing of the body. */
final class AnswerHeadParser {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Longest length that fits into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');

    private Optional<StatusLine> mStatusLine = Optional.empty();
    private OptionalLong mLength = OptionalLong.empty();
    private boolean mChunked;

    /** Adds the next line, without its end; not the empty one. */
    void add(String line) throws MalformedAnswerException {
        if (mStatusLine.isEmpty()) {
            mStatusLine = Optional.of(StatusLine.parse(line));
            return;
        }
        FieldLine field = FieldLine.parse(line);
        if (field.hasName("Content-Length")) {
            addLength(field.value());
        } else if (field.hasName("Transfer-Encoding")) {
            addTransferEncoding(field.value());
        }
    }

    private void addLength(String value) throws MalformedAnswerException {
        boolean valid =
                !value.isEmpty()
                        && value.length() <= MAX_LENGTH_DIGITS
                        && DIGIT.matchesAllOf(value);
        if (!valid || mLength.isPresent()) {
            throw new MalformedAnswerException("the length isn't one number");
        }
        mLength = OptionalLong.of(Long.parseLong(value));
    }

    private void addTransferEncoding(String value) throws MalformedAnswerException {
        if (mChunked || !value.equalsIgnoreCase("chunked")) {
            throw new MalformedAnswerException("the transfer encoding isn't chunked alone");
        }
        mChunked = true;
    }

    /** Returns the status line; the head must have ended. */
    StatusLine statusLine() throws MalformedAnswerException {
        return mStatusLine.orElseThrow(
                () -> new MalformedAnswerException("the answer begins with an empty line"));
    }

    /**
     * Returns the framing of the body.
     *
     * @param toHead whether the request had the method HEAD
     */
    AnswerFraming framing(boolean toHead) throws MalformedAnswerException {
        StatusLine statusLine = statusLine();
        if (mChunked && mLength.isPresent()) {
            throw new MalformedAnswerException("the answer has both a length and chunks");
        }
        if (mChunked && statusLine.minorVersion() == 0) {
            throw new MalformedAnswerException("an answer of HTTP/1.0 has chunks");
        }
        int status = statusLine.status();
        if (toHead || status == NO_CONTENT || status == NOT_MODIFIED) {
            return new AnswerFraming.Empty();
        }
        if (mChunked) {
            return new AnswerFraming.Chunked();
        }
        return mLength.isPresent()
                ? new AnswerFraming.Sized(mLength.getAsLong())
                : new AnswerFraming.UntilClose();
    }
}
