package io.bilberrygrade.serving.forward;

/** Thrown if a stream violates its format or the order of its events. */
final class MalformedStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedStreamException(String message) {
        super(message);
    }

    MalformedStreamException(String message, Throwable cause) {
        super(message, cause);
    }
}
