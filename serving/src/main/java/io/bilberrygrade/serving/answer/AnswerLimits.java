package io.bilberrygrade.serving.answer;

/**
 * Limits of an answer on the wire.
 *
 * @param maxHeadBytes limit in bytes of a head with the interim heads before it, and of the
 *     trailers
 * @param maxBodyBytes limit in bytes of a body without its framing
 */
public record AnswerLimits(int maxHeadBytes, long maxBodyBytes) {
    /** Returns limits for answers that are relayed as they arrive, so that only heads are held. */
    public static AnswerLimits relayed(int maxHeadBytes) {
        return new AnswerLimits(maxHeadBytes, Long.MAX_VALUE);
    }
}
