package io.bilberrygrade.serving.report;

import io.bilberrygrade.core.report.ClassCounts;
import java.util.Optional;

/**
 * Counts of one class over the period. The target is the current one; empty if the class is no
 * longer configured.
 */
public record ClassReport(
        String workClass,
        Optional<Long> targetMillis,
        double insideTargetShare,
        ClassCounts counts) {}
