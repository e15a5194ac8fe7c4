package io.bilberrygrade.daemon;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that starts at the wall-clock time and then follows the monotonic clock, so that a step of
 * the wall clock neither shortens nor lengthens a deadline.
 */
public final class MonotonicClock implements InstantSource {
    private final Instant mStart = Instant.now();
    private final long mStartNanos = System.nanoTime();

    @Override
    public Instant instant() {
        return mStart.plusNanos(System.nanoTime() - mStartNanos);
    }
}
