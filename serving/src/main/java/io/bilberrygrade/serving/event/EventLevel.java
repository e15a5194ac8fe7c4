package io.bilberrygrade.serving.event;

/** Levels of log events. */
public enum EventLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR
}
