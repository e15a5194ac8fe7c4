package io.bilberrygrade.serving.report;

import java.util.Map;

/** A change that took effect on this daemon: when, which event and its fields. */
public record AuditEntry(String at, String event, String name, Map<String, String> fields) {}
