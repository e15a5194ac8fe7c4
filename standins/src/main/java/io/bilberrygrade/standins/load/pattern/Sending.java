package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.SendingWork;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Collection;

/** One placed request and the daemon that sent it; keeps the daemon's ledger. */
final class Sending {
    private final PatternClass mOfClass;
    private final StreamNeed mNeed;
    private final StreamPlacement mPlaced;
    private final int mDaemon;
    private ImmutableMap<EndpointId, EndpointWork> mCounted = ImmutableMap.of();
    private boolean mFirst;

    Sending(PatternClass ofClass, StreamNeed need, StreamPlacement placed, int daemon) {
        mOfClass = ofClass;
        mNeed = need;
        mPlaced = placed;
        mDaemon = daemon;
    }

    PatternClass ofClass() {
        return mOfClass;
    }

    StreamNeed need() {
        return mNeed;
    }

    StreamPlacement placed() {
        return mPlaced;
    }

    int daemon() {
        return mDaemon;
    }

    /** Returns whether it is lost with any of the engines. */
    boolean needs(Collection<EndpointId> engines) {
        return engines.contains(mPlaced.first().id())
                || (!mFirst && mPlaced.helpers().stream().anyMatch(h -> engines.contains(h.id())));
    }

    void started(WorkLedger ledger) {
        count(ledger, SendingWork.of(mNeed, mPlaced).reading());
    }

    void readDone(WorkLedger ledger) {
        if (!mFirst) {
            count(ledger, SendingWork.of(mNeed, mPlaced).read());
        }
    }

    void firstEvent(WorkLedger ledger) {
        mFirst = true;
        count(ledger, SendingWork.of(mNeed, mPlaced).writing());
    }

    void ended(WorkLedger ledger) {
        mFirst = true;
        count(ledger, ImmutableMap.of());
    }

    private void count(WorkLedger ledger, ImmutableMap<EndpointId, EndpointWork> work) {
        ledger.replace(mCounted, work);
        mCounted = work;
    }
}
