package io.bilberrygrade.core.report;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.WorkClassId;

/** Counts of one minute, given in minutes since 1970, by class. */
public record MinuteCounts(long minute, ImmutableMap<WorkClassId, ClassCounts> counts) {}
