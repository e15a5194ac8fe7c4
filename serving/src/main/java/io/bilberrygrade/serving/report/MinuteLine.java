package io.bilberrygrade.serving.report;

import io.bilberrygrade.core.report.ClassCounts;

/** Counts of one class in one minute, given in minutes since 1970. */
public record MinuteLine(long minute, String workClass, ClassCounts counts) {}
