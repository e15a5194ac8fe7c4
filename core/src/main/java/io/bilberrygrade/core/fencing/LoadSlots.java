package io.bilberrygrade.core.fencing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;

/**
 * Time slots in which engines may read the weight store. Each engine has its own slot in every
 * cycle, so that the store's rate limit holds over the whole fleet without coordination. Orders are
 * sent in the first quarter of a slot; the rest absorbs clock skew and network delay.
 */
public final class LoadSlots {
    private static final double READ_INTERVALS_PER_SLOT = 1.5;
    private static final int OPEN_PART_DIVISOR = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ImmutableSortedSet<EndpointId> mEngines;
    private final long mSlotNanos;

    /** Creates the slots of all published engines for the store's rate limit. */
    public LoadSlots(ImmutableSortedSet<EndpointId> engines, double readsPerSecond) {
        checkArgument(readsPerSecond > 0, "reads per second must be positive");
        mEngines = engines;
        mSlotNanos = Math.round(READ_INTERVALS_PER_SLOT * NANOS_PER_SECOND / readsPerSecond);
    }

    /** Returns the time until the engine may read; zero while its slot is open. */
    public Duration timeUntilOpen(EndpointId engine, Instant now) {
        int index = mEngines.headSet(engine).size();
        long cycleNanos = mSlotNanos * Math.max(1, mEngines.size());
        long elapsedNanos = nanosIntoCycle(now, cycleNanos);
        long nanosSinceOpen = Math.floorMod(elapsedNanos - index * mSlotNanos, cycleNanos);
        return nanosSinceOpen < mSlotNanos / OPEN_PART_DIVISOR
                ? Duration.ZERO
                : Duration.ofNanos(cycleNanos - nanosSinceOpen);
    }

    private static long nanosIntoCycle(Instant now, long cycleNanos) {
        Duration sinceEpoch = Duration.between(Instant.EPOCH, now);
        return Math.floorMod(sinceEpoch.toNanos(), cycleNanos);
    }
}
