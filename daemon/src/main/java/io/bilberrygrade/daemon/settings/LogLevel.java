package io.bilberrygrade.daemon.settings;

/** Minimum level of the events that are logged. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR
}
