package io.bilberrygrade.daemon.settings;

/** Settings file that can't be read or fails its checks. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message for the operator. */
    public InvalidSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
