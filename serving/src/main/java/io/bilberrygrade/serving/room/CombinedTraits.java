package io.bilberrygrade.serving.room;

import io.bilberrygrade.core.room.FleetTraits;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Current traits of the fleet, each from its own source.
 *
 * @param contended whether the settings state contention
 * @param uneven whether the capacities that the instances state differ widely
 */
public record CombinedTraits(BooleanSupplier contended, BooleanSupplier uneven)
        implements Supplier<FleetTraits> {
    @Override
    public FleetTraits get() {
        return new FleetTraits(contended.getAsBoolean(), uneven.getAsBoolean());
    }
}
