package io.bilberrygrade.serving.room;

import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.room.SlownessDetector;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Watches the timers and calls of a daemon's exchange. A daemon that has become slow states so, and
 * others take the roles of aggregator and standby.
 */
public final class SlownessWatch {
    private final FleetView mFleet;
    private final EventLog mEvents;
    private final SlownessDetector mDetector = new SlownessDetector();
    private Optional<Instant> mDueAt = Optional.empty();

    /** Creates the watch of a daemon, which does nothing unless its settings state a capacity. */
    public SlownessWatch(FleetView fleet, EventLog events) {
        mFleet = fleet;
        mEvents = events;
    }

    /** Records that the exchange begins, which was due at the time given last. */
    public void onExchange(Instant now) {
        if (mFleet.capacities().own().isEmpty()) {
            return;
        }
        mDetector.recordRole(mFleet.isAggregator(now), now);
        mDueAt.ifPresent(due -> mDetector.recordTimer(Duration.between(due, now), now));
        boolean slow = mDetector.isSlow(now);
        if (mFleet.capacities().recordOwnSlowness(slow)) {
            mEvents.record(
                    new ForwardEvent.InstanceSlow(
                            slow,
                            mDetector.timerDelay(now).toMillis(),
                            mDetector.fastestResponse(now).toMillis(),
                            mDetector.hold().toMillis()));
        }
    }

    /** Records when the exchange is due next. */
    public void onScheduled(Instant due) {
        mDueAt = Optional.of(due);
    }

    /** Records how long a peer took to answer. */
    public void onResponse(Instant askedAt, Instant now) {
        mDetector.recordResponse(Duration.between(askedAt, now), now);
    }
}
