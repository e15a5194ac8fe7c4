package io.bilberrygrade.daemon.settings;

import io.bilberrygrade.serving.settings.EntrySettings;

/** Settings of the daemon as a program: those of the library and those of its log stream. */
public record DaemonSettings(EntrySettings entry, LogFormat logFormat, LogLevel logLevel) {}
