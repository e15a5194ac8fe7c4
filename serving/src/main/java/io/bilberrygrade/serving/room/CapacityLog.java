package io.bilberrygrade.serving.room;

import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.room.CapacityRange;
import io.bilberrygrade.core.room.FleetCapacities;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Instant;

/** Logs which daemon is the aggregator, with the capacities that this depends on. */
public final class CapacityLog {
    private CapacityLog() {}

    /** Logs the aggregator that a daemon follows from now on, if daemons state capacities. */
    public static void recordAggregator(EventLog events, FleetView fleet, Instant now) {
        FleetCapacities capacities = fleet.capacities();
        CapacityRange range = capacities.contactedRange(now).orElse(new CapacityRange(0, 0));
        FleetMember aggregator = fleet.aggregator(now);
        if (range.maxMillis() > 0) {
            events.record(
                    new ForwardEvent.AggregatorChanged(
                            aggregator.address().toString(),
                            capacities
                                    .of(aggregator.address())
                                    .map(s -> s.capacity().processorMillis())
                                    .orElse(0L),
                            now.toEpochMilli() - aggregator.startedAtMillis(),
                            capacities.isUneven(now),
                            range.minMillis(),
                            range.maxMillis()));
        }
    }
}
