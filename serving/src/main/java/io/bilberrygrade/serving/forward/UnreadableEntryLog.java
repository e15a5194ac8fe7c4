package io.bilberrygrade.serving.forward;

import com.google.common.hash.HashCode;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Logs entries that can't be read, each once unless its value changes. */
final class UnreadableEntryLog {
    /** Maximum number of keys whose last value is kept. */
    private static final int MAX_KEYS = 1_024;

    private final EventLog mEvents;

    /** Digests of the values that were logged, those seen last at the end. */
    private final Map<String, HashCode> mLogged = new LinkedHashMap<>();

    UnreadableEntryLog(EventLog events) {
        mEvents = events;
    }

    /** Logs the entries of an answer that weren't logged before. */
    void record(List<UnreadableEntry> entries) {
        entries.forEach(this::record);
    }

    private void record(UnreadableEntry entry) {
        HashCode before = mLogged.remove(entry.key());
        mLogged.put(entry.key(), entry.digest());
        if (mLogged.size() > MAX_KEYS) {
            mLogged.remove(mLogged.keySet().iterator().next());
        }
        if (!entry.digest().equals(before)) {
            mEvents.record(new ForwardEvent.EntryUnreadable(entry.key(), entry.length()));
        }
    }
}
