package io.bilberrygrade.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Appender that writes log lines on a separate thread and drops lines while its queue is full, so
 * that requests aren't blocked when the log's reader stalls. Counts the dropped lines.
 */
final class DroppingAppender extends AsyncAppender {
    /** Capacity of the queue, some seconds of a busy daemon's log. */
    static final int QUEUE_LINES = 4_096;

    private final AtomicLong mDropped = new AtomicLong();

    DroppingAppender() {
        setQueueSize(QUEUE_LINES);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            mDropped.incrementAndGet();
        } else {
            super.append(event);
        }
    }

    /** Returns the number of lines dropped so far. */
    long dropped() {
        return mDropped.get();
    }
}
