package io.bilberrygrade.serving.room;

import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Checks periodically whether the engine of a request that holds memory elsewhere has ended. */
public final class EndWatch {
    /**
     * Few requests hold memory elsewhere, and it must be free within seconds of the engine's end.
     */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    private final Timers mTimers;
    private final BooleanSupplier mHasEnded;
    private final Runnable mOnEnded;
    private Optional<Cancellable> mTimer = Optional.empty();

    /** Creates a watch that isn't started; {@code onEnded} is run once. */
    public EndWatch(Timers timers, BooleanSupplier hasEnded, Runnable onEnded) {
        mTimers = timers;
        mHasEnded = hasEnded;
        mOnEnded = onEnded;
    }

    /** Starts the checks. */
    public void start() {
        mTimer = Optional.of(mTimers.after(CHECK_INTERVAL).subscribe().with(v -> check()));
    }

    private void check() {
        if (mHasEnded.getAsBoolean()) {
            mTimer = Optional.empty();
            mOnEnded.run();
        } else {
            start();
        }
    }

    /** Ends the checks. */
    public void stop() {
        mTimer.ifPresent(Cancellable::cancel);
        mTimer = Optional.empty();
    }
}
