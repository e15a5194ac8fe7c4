package io.bilberrygrade.serving.answer;

/** Thrown if a stream violates its format or the order of its events. */
public final class MalformedStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that tells what was violated. */
    public MalformedStreamException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public MalformedStreamException(String message, Throwable cause) {
        super(message, cause);
    }
}
