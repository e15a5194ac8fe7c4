package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.WorkClassId;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Settings of one cell of a measurement, which runs a policy under a load.
 *
 * @param fault name of the fault injected in mid-run
 * @param withLong false if prompts over 100 k tokens are omitted from the arrivals, which are
 *     otherwise the same
 * @param started file that is written when the measured period begins
 */
record CellSettings(
        String policy,
        String fault,
        boolean withLong,
        WorkloadSettings workload,
        ImmutableList<Address> entries,
        String model,
        ImmutableMap<WorkClassId, Duration> targets,
        Path started,
        Path output) {}
