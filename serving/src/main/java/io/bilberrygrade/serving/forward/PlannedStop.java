package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * Stops a daemon so that each request that it has read gets a final answer: it accepts requests
 * until the platform has noticed, lets the running ones end, and answers those that still run
 * shortly before the process would be killed.
 */
final class PlannedStop {
    /**
     * Time for which a stopping daemon still accepts requests: the platform probes readiness every
     * second and needs two negative answers before it sends callers elsewhere.
     */
    private static final Duration DRAIN_DELAY = Duration.ofMillis(2_300);

    /**
     * Time before the end of the platform's grace period at which running requests are abandoned.
     */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    /** Time for the last answers to be written. */
    private static final Duration LAST_WRITE_TIME = Duration.ofMillis(150);

    private final FrontServer mFront;
    private final RunningRequests mRunning;
    private final ReadinessController mReadiness;
    private final DrainController mDrain;
    private final Timers mTimers;
    private final EventLog mEvents;

    PlannedStop(
            FrontServer front,
            RunningRequests running,
            ReadinessController readiness,
            DrainController drain,
            Timers timers,
            EventLog events) {
        mFront = front;
        mRunning = running;
        mReadiness = readiness;
        mDrain = drain;
        mTimers = timers;
        mEvents = events;
    }

    /** Stops the daemon; completes when the process may end, shortly before the grace does. */
    Uni<Void> run(Duration grace) {
        mReadiness.stopAccepting();
        mFront.closeConnectionsAfterAnswers();
        mEvents.record(new LifecycleEvent.DrainStarted(mDrain.runningRequests()));
        Uni<Void> idle = mTimers.after(DRAIN_DELAY).invoke(mFront::closeIdle).chain(mDrain::drain);
        return Uni.join()
                .first(idle, mTimers.after(grace.minus(EXIT_MARGIN)))
                .toTerminate()
                .chain(this::answerRest);
    }

    /** Gives a final answer to each request that still runs or is being uploaded. */
    private Uni<Void> answerRest() {
        Uni<Void> written = mDrain.drain();
        if (mDrain.runningRequests() > 0) {
            mEvents.record(
                    new ForwardEvent.RequestsAbandoned(
                            mRunning.count(), mFront.openUploads(), mDrain.runningRequests()));
            mRunning.abandonAll();
            mFront.refuseUploads();
        }
        return Uni.join().first(written, mTimers.after(LAST_WRITE_TIME)).toTerminate();
    }
}
