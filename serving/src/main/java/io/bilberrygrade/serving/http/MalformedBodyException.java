package io.bilberrygrade.serving.http;

/** Thrown if a request body is not a valid completion call. */
public final class MalformedBodyException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message for the caller. */
    public MalformedBodyException(String message) {
        super(message);
    }

    /** Creates the exception for a body that could not be parsed. */
    public MalformedBodyException(String message, Throwable cause) {
        super(message, cause);
    }
}
