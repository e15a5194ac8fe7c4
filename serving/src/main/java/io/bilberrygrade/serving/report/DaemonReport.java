package io.bilberrygrade.serving.report;

import java.util.List;

/** Counts of one daemon; {@code startedMillis} is the time at which it began to count. */
public record DaemonReport(
        String instance, long incarnation, long startedMillis, List<MinuteLine> lines) {}
