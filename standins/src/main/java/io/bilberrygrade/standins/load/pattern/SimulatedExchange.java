package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Exchange of work sums between the daemons of a simulated fleet, over one aggregator. */
final class SimulatedExchange {
    /** One-way network time between daemons. */
    private static final double PEER_NETWORK_MILLIS = 2;

    /** Span over which daemons spread their first exchanges, so that they aren't synchronised. */
    private static final int FIRST_EXCHANGE_SPREAD_MILLIS = 100;

    private static final FleetMember AGGREGATOR = new FleetMember(new Address("127.0.0.1", 1), 1);

    private final VirtualClock mClock;
    private final List<WorkLedger> mDaemons;
    private final long mIntervalMillis;
    private final WorkSums mWorkSums = new WorkSums();

    SimulatedExchange(VirtualClock clock, List<WorkLedger> daemons, long intervalMillis) {
        mClock = clock;
        mDaemons = daemons;
        mIntervalMillis = intervalMillis;
    }

    void start(UniformRandomProvider random) {
        for (int daemon = 0; daemon < mDaemons.size(); daemon++) {
            int number = daemon;
            mClock.schedule(random.nextInt(FIRST_EXCHANGE_SPREAD_MILLIS), () -> exchange(number));
        }
    }

    /**
     * Reports a daemon's work to the aggregator, fetches the sums and schedules the next exchange.
     */
    private void exchange(int daemon) {
        WorkLedger ledger = mDaemons.get(daemon);
        ImmutableMap<EndpointId, EndpointWork> own = ledger.ownWork();
        long version = ledger.receivedSums().version(AGGREGATOR);
        mClock.schedule(
                PEER_NETWORK_MILLIS,
                () -> {
                    mWorkSums.recordReport(new Address("127.0.0.1", daemon + 1), own, mClock.now());
                    WorkSums.Update update = mWorkSums.since(version, mClock.now());
                    mClock.schedule(
                            PEER_NETWORK_MILLIS,
                            () ->
                                    ledger.receivedSums()
                                            .apply(AGGREGATOR, version, update, own, mClock.now()));
                });
        mClock.schedule((double) mIntervalMillis, () -> exchange(daemon));
    }
}
