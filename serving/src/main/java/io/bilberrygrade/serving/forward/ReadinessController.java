package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;

/**
 * Owns whether the daemon asks for callers: it does once it can serve them, and not while it can't
 * check keys or is told to stop.
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

    /** Has the platform send no more callers, for good. */
    void stop() {
        mStopping = true;
        ready();
    }

    /** Returns whether callers are welcome now. */
    boolean ready() {
        String reason = reason();
        boolean ready = reason.isEmpty();
        if (ready != mWasReady) {
            mWasReady = ready;
            long age = mState.confirmedAgo().map(Duration::toMillis).orElse(-1L);
            mEvents.record(new ForwardEvent.ReadinessChanged(ready, reason, age));
        }
        return ready;
    }

    private String reason() {
        if (mStopping) {
            return "stopping";
        }
        if (mState.config().isEmpty()) {
            return "no configuration is known yet";
        }
        if (!mState.endpoints().known()) {
            return "no endpoints are known yet";
        }
        if (!mState.peersAsked()) {
            return "peers weren't asked for a newer configuration yet";
        }
        return mState.fresh() ? "" : "keys can't be checked";
    }
}
