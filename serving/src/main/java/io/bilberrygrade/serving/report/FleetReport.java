package io.bilberrygrade.serving.report;

import java.util.List;
import java.util.Map;

/**
 * Report summed over the daemons that answered. {@code countedBy} says of each column how it was
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
    /** A daemon whose counts are in the report and since when it has counted. */
    public record DaemonLine(String instance, long incarnation, String since) {}
}
