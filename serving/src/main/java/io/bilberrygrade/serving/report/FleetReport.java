package io.bilberrygrade.serving.report;

import java.util.List;
import java.util.Map;

/**
 * Report summed over the daemons that answered. {@code countedBy} describes how each column is
 * counted.
 */
public record FleetReport(
        String at,
        int periodMinutes,
        long configVersion,
        List<DaemonLine> daemons,
        List<String> unanswered,
        List<ClassReport> classes,
        List<MinuteLine> lines,
        Map<String, String> countedBy) {
    /** Daemon whose counts the report includes, and the time at which it began to count. */
    public record DaemonLine(String instance, long incarnation, String since) {}
}
