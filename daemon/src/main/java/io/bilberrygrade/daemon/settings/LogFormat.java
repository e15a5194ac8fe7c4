package io.bilberrygrade.daemon.settings;

/** Formats of the log. */
public enum LogFormat {
    PLAIN,
    JSON
}
