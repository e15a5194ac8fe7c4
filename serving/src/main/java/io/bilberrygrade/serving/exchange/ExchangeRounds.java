package io.bilberrygrade.serving.exchange;

import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.time.Timers;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Runs the rounds of the exchange with other daemons. A round that throws doesn't end them: a
 * daemon without exchange neither learns of the others' work nor is counted by them. Confined to
 * the event loop.
 */
public final class ExchangeRounds {
    /** Delay after a round that throws before it has determined the interval. */
    private static final Duration FAILED_ROUND_DELAY = Duration.ofMillis(500);

    /** Minimum time between two events about rounds that throw. */
    private static final Duration EVENT_INTERVAL = Duration.ofSeconds(1);

    private final Timers mTimers;
    private final Supplier<Instant> mClock;
    private final EventLog mEvents;
    private Instant mFaultRecordedAt = Instant.MIN;

    /** Creates the schedule; {@link #repeat} starts it. */
    public ExchangeRounds(Timers timers, Supplier<Instant> clock, EventLog events) {
        mTimers = timers;
        mClock = clock;
        mEvents = events;
    }

    /** Runs a round now, and the next one after the interval that the round returns. */
    public void repeat(Function<Instant, Duration> round) {
        Instant now = mClock.get();
        Duration delay = FAILED_ROUND_DELAY;
        try {
            delay = round.apply(now);
        } catch (RuntimeException e) {
            recordFault(e, now);
        } finally {
            mTimers.after(delay).subscribe().with(v -> repeat(round));
        }
    }

    private void recordFault(RuntimeException e, Instant now) {
        if (!mFaultRecordedAt.plus(EVENT_INTERVAL).isAfter(now)) {
            mFaultRecordedAt = now;
            mEvents.record(new LifecycleEvent.UnexpectedError("exchange", e.toString()));
        }
    }
}
