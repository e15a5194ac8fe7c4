package io.bilberrygrade.serving.answer;

/** The bytes of an answer violate the protocol or exceed a limit. */
public final class MalformedAnswerException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception; the message says what is wrong. */
    public MalformedAnswerException(String message) {
        super(message);
    }
}
