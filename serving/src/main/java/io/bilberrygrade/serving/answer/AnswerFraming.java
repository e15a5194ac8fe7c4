package io.bilberrygrade.serving.answer;

/** How the end of an answer's body is found (RFC 9112, section 6.3). */
sealed interface AnswerFraming {
    /** The answer has no body. */
    record Empty() implements AnswerFraming {}

    /**
     * The body has a stated length.
     *
     * @param bytes length in bytes
     */
    record Sized(long bytes) implements AnswerFraming {}

    /** The body comes in chunks. */
    record Chunked() implements AnswerFraming {}

    /** The body ends with its connection. */
    record UntilClose() implements AnswerFraming {}
}
