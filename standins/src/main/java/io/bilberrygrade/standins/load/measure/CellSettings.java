package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.WorkClassId;
import java.nio.file.Path;
import java.time.Duration;

/**
 * One cell of a measurement: a policy under a load. {@code fault} names what is lost in mid-run;
 * {@code withLong} is false when prompts over 100 k tokens are left out of the same arrivals. The
 * file {@code started} is written when the measured period begins.
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
