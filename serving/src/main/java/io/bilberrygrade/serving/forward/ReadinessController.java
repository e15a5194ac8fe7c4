package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;

/**
 * Decides whether the daemon reports ready: once it can serve callers, and not while it can't check
 * keys or is stopping.
 */
final class ReadinessController {
    private final StateController mState;
    private final EventLog mEvents;
    private boolean mStopping;
    private boolean mWasReady;

    ReadinessController(StateController state, EventLog events) {
        mState = state;
        mEvents = events;
    }

    /** Reports not ready from now on, so that the platform sends no more callers. */
    void stopAccepting() {
        mStopping = true;
        isReady();
    }

    /** Returns whether the daemon is ready now; logs each change. */
    boolean isReady() {
        String reason = notReadyReason();
        boolean ready = reason.isEmpty();
        if (ready != mWasReady) {
            mWasReady = ready;
            long age = mState.confirmationAge().map(Duration::toMillis).orElse(-1L);
            mEvents.record(new ForwardEvent.ReadinessChanged(ready, reason, age));
        }
        return ready;
    }

    private String notReadyReason() {
        if (mStopping) {
            return "stopping";
        }
        if (mState.config().isEmpty()) {
            return "no configuration is known yet";
        }
        if (!mState.endpoints().isLoaded()) {
            return "no endpoints are known yet";
        }
        if (!mState.hasAskedPeers()) {
            return "peers weren't asked for a newer configuration yet";
        }
        return mState.isFresh() ? "" : "keys can't be checked";
    }
}
