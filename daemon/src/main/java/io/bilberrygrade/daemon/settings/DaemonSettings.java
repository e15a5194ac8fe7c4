package io.bilberrygrade.daemon.settings;

import io.bilberrygrade.serving.settings.EntrySettings;

/** Settings of an entry daemon's process: those of the daemon and those of its log. */
public record DaemonSettings(EntrySettings entry, LogFormat logFormat, LogLevel logLevel) {}
