package io.bilberrygrade.serving.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.report.ClassCounts;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Builds a fleet report from the reports of daemons. */
final class FleetReportBuilder {
    private FleetReportBuilder() {}

    /** Returns the sum of the reports, with the targets of the deployment in force. */
    static FleetReport sum(
            List<DaemonReport> reports,
            List<String> unanswered,
            Deployment deployment,
            int periodMinutes,
            Instant now) {
        Map<String, ClassCounts> byClass = new TreeMap<>();
        deployment.classes().keySet().forEach(c -> byClass.put(c.value(), ClassCounts.NONE));
        Map<LineKey, ClassCounts> byLine =
                new TreeMap<>(
                        Comparator.comparingLong(LineKey::minute)
                                .thenComparing(LineKey::workClass));
        for (DaemonReport report : reports) {
            for (MinuteLine line : report.lines()) {
                byClass.merge(line.workClass(), line.counts(), ClassCounts::plus);
                LineKey key = new LineKey(line.minute(), line.workClass());
                byLine.merge(key, line.counts(), ClassCounts::plus);
            }
        }
        return new FleetReport(
                now.toString(),
                periodMinutes,
                deployment.version(),
                reports.stream().map(FleetReportBuilder::daemon).toList(),
                ImmutableSortedSet.copyOf(unanswered).asList(),
                classes(byClass, deployment),
                byLine.entrySet().stream().map(FleetReportBuilder::line).toList(),
                ReportColumns.COUNTED_BY);
    }

    private static ImmutableList<ClassReport> classes(
            Map<String, ClassCounts> byClass, Deployment deployment) {
        return byClass.entrySet().stream()
                .map(
                        e ->
                                new ClassReport(
                                        e.getKey(),
                                        targetMillis(e.getKey(), deployment),
                                        e.getValue().insideTargetShare(),
                                        e.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<Long> targetMillis(String workClass, Deployment deployment) {
        WorkClass known = deployment.classes().get(new WorkClassId(workClass));
        return Optional.ofNullable(known).map(c -> c.timeToFirstToken().toMillis());
    }

    private static FleetReport.DaemonLine daemon(DaemonReport report) {
        String since = Instant.ofEpochMilli(report.startedMillis()).toString();
        return new FleetReport.DaemonLine(report.instance(), report.incarnation(), since);
    }

    private static MinuteLine line(Map.Entry<LineKey, ClassCounts> e) {
        return new MinuteLine(e.getKey().minute(), e.getKey().workClass(), e.getValue());
    }

    private record LineKey(long minute, String workClass) {}
}
