package io.bilberrygrade.serving.report;

import java.util.List;

/** What one daemon counted; {@code startedMillis} is when its counting began. */
public record DaemonReport(
        String instance, long incarnation, long startedMillis, List<MinuteLine> lines) {}
