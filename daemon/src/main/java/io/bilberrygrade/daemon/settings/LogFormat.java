package io.bilberrygrade.daemon.settings;

/** Forms of the log stream. */
public enum LogFormat {
    PLAIN,
    JSON
}
