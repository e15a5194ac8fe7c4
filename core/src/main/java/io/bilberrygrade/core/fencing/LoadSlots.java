package io.bilberrygrade.core.fencing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;

/**
 * Time slots in which engines may read the weight store. Each engine has a slot of its own in every
 * cycle, so that the store's rate limit holds over the whole fleet without any agreement. Orders go
 * out in the first quarter of a slot; the rest is for clocks and networks.
 */
public final class LoadSlots {
    private static final double SLOTS_PER_READ = 1.5;
    private static final int OPEN_FRACTION = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ImmutableSortedSet<EndpointId> mEngines;
    private final long mSlotNanos;

    /** Creates the slots of all published engines under the store's limit. */
    public LoadSlots(ImmutableSortedSet<EndpointId> engines, double readsPerSecond) {
        checkArgument(readsPerSecond > 0, "reads per second must be positive");
        mEngines = engines;
        mSlotNanos = Math.round(SLOTS_PER_READ * NANOS_PER_SECOND / readsPerSecond);
    }

    /** Returns the time until the engine may read; zero while its slot is open. */
    public Duration untilOpen(EndpointId engine, Instant now) {
        int index = mEngines.headSet(engine).size();
        long cycle = mSlotNanos * Math.max(1, mEngines.size());
        long inCycle = nanos(now, cycle);
        long sinceOpen = Math.floorMod(inCycle - index * mSlotNanos, cycle);
        return sinceOpen < mSlotNanos / OPEN_FRACTION
                ? Duration.ZERO
                : Duration.ofNanos(cycle - sinceOpen);
    }

    private static long nanos(Instant now, long cycle) {
        Duration sinceEpoch = Duration.between(Instant.EPOCH, now);
        return Math.floorMod(sinceEpoch.toNanos(), cycle);
    }
}
