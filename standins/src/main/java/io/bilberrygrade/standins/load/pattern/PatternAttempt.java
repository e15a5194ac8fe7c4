package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Collection;

/** One attempt of a placed request; records its work in the ledger of the sending daemon. */
final class PatternAttempt {
    private final PatternClass mRequestClass;
    private final StreamNeed mNeed;
    private final StreamPlacement mPlaced;
    private final int mDaemon;
    private ImmutableMap<EndpointId, EndpointWork> mRecordedWork = ImmutableMap.of();
    private boolean mHasFirstEvent;

    PatternAttempt(PatternClass requestClass, StreamNeed need, StreamPlacement placed, int daemon) {
        mRequestClass = requestClass;
        mNeed = need;
        mPlaced = placed;
        mDaemon = daemon;
    }

    PatternClass requestClass() {
        return mRequestClass;
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

    /** Returns whether the crash of any of the engines loses the attempt. */
    boolean isLostWith(Collection<EndpointId> engines) {
        return engines.contains(mPlaced.first().id())
                || (!mHasFirstEvent
                        && mPlaced.helpers().stream().anyMatch(h -> engines.contains(h.id())));
    }

    void onStarted(WorkLedger ledger) {
        recordWork(ledger, AttemptWork.of(mNeed, mPlaced).reading());
    }

    void onPrefillEnd(WorkLedger ledger) {
        if (!mHasFirstEvent) {
            recordWork(ledger, AttemptWork.of(mNeed, mPlaced).read());
        }
    }

    void onFirstEvent(WorkLedger ledger) {
        mHasFirstEvent = true;
        recordWork(ledger, AttemptWork.of(mNeed, mPlaced).writing());
    }

    void onEnded(WorkLedger ledger) {
        mHasFirstEvent = true;
        recordWork(ledger, ImmutableMap.of());
    }

    private void recordWork(WorkLedger ledger, ImmutableMap<EndpointId, EndpointWork> work) {
        ledger.replace(mRecordedWork, work);
        mRecordedWork = work;
    }
}
