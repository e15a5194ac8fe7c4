package io.bilberrygrade.serving.report;

import java.util.Map;

/** Change that took effect on this daemon: its time, event and fields. */
public record AuditEntry(String at, String event, String name, Map<String, String> fields) {}
