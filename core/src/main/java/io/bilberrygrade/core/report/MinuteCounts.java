package io.bilberrygrade.core.report;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.WorkClassId;

/** Counts of one minute by class; {@code minute} is in minutes since 1970. */
public record MinuteCounts(long minute, ImmutableMap<WorkClassId, ClassCounts> counts) {}
