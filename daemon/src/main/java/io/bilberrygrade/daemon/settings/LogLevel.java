package io.bilberrygrade.daemon.settings;

/** Least level of the events that are written. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR
}
