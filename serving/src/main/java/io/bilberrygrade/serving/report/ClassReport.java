package io.bilberrygrade.serving.report;

import io.bilberrygrade.core.report.ClassCounts;
import java.util.Optional;

/** Counts of one class over the period; the target is the one in force, if the class still is. */
public record ClassReport(
        String workClass,
        Optional<Long> targetMillis,
        double insideTargetShare,
        ClassCounts counts) {}
