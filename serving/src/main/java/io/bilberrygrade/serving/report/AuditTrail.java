package io.bilberrygrade.serving.report;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.EventFormat;
import io.bilberrygrade.serving.event.EventLog;
import java.time.InstantSource;

/** Keeps the newest audited events in memory and forwards all events to the next log. */
public final class AuditTrail implements EventLog {
    private static final int MAX_ENTRIES = 1_000;

    private final EventLog mNext;
    private final InstantSource mClock;
    private final EvictingQueue<AuditEntry> mEntries = EvictingQueue.create(MAX_ENTRIES);

    /** Creates an empty trail that forwards to the given log. */
    public AuditTrail(EventLog next, InstantSource clock) {
        mNext = next;
        mClock = clock;
    }

    @Override
    public void record(Event event) {
        if (EventFormat.info(event.getClass()).audited()) {
            mEntries.add(
                    new AuditEntry(
                            mClock.instant().toString(),
                            EventFormat.number(event),
                            EventFormat.name(event.getClass()),
                            EventFormat.fields(event)));
        }
        mNext.record(event);
    }

    /** Returns the entries, oldest first. */
    public ImmutableList<AuditEntry> entries() {
        return ImmutableList.copyOf(mEntries);
    }
}
