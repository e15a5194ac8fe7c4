package io.bilberrygrade.serving.answer;

/**
 * Limits of an answer on the wire, in bytes.
 *
 * @param maxHeadBytes limit of a head with the interim heads before it, and of the trailers
 * @param maxBodyBytes limit of the body of a success, without its framing
 * @param maxErrorBytes limit of the body of another answer, without its framing
 */
public record AnswerLimits(int maxHeadBytes, long maxBodyBytes, long maxErrorBytes) {
    private static final int MIN_SUCCESS = 200;
    private static final int MIN_REDIRECT = 300;

    /** Returns limits for answers whose receiver limits the bodies itself. */
    public static AnswerLimits headOnly(int maxHeadBytes) {
        return new AnswerLimits(maxHeadBytes, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Returns the limit of the body of an answer with the given status. */
    long maxBytes(int status) {
        return status >= MIN_SUCCESS && status < MIN_REDIRECT ? maxBodyBytes : maxErrorBytes;
    }
}
