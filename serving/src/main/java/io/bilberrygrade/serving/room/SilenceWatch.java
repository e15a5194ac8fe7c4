package io.bilberrygrade.serving.room;

import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/** Notices when an endpoint has sent nothing of an answer for too long. */
public final class SilenceWatch {
    private final Timers mTimers;
    private final Predicate<Duration> mOnSilence;
    private Optional<Duration> mLimit = Optional.empty();
    private Optional<Cancellable> mTimer = Optional.empty();
    private boolean mSuspended;

    /**
     * Creates a watch that isn't started.
     *
     * @param onSilence gets the limit that has passed; returns whether the watch ends
     */
    public SilenceWatch(Timers timers, Predicate<Duration> onSilence) {
        mTimers = timers;
        mOnSilence = onSilence;
    }

    /** Starts to wait for the endpoint for at most the given time, instead of the time before. */
    public void start(Duration limit) {
        cancelTimer();
        mLimit = Optional.of(limit);
        if (!mSuspended) {
            mTimer = Optional.of(mTimers.after(limit).subscribe().with(v -> onLimit(limit)));
        }
    }

    /** Starts again with the last limit, if the watch was started before. */
    public void restart() {
        mLimit.ifPresent(this::start);
    }

    /** Stops counting while the endpoint isn't read from, which would look like a silence. */
    public void suspend() {
        mSuspended = true;
        cancelTimer();
    }

    /** Counts again, from now on. */
    public void resume() {
        mSuspended = false;
        restart();
    }

    /** Ends the watch. */
    public void stop() {
        cancelTimer();
        mLimit = Optional.empty();
    }

    private void cancelTimer() {
        mTimer.ifPresent(Cancellable::cancel);
        mTimer = Optional.empty();
    }

    private void onLimit(Duration limit) {
        if (!mOnSilence.test(limit)) {
            start(limit);
        }
    }
}
