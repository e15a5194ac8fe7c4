package io.bilberrygrade.serving.forward;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Logs entries that can't be read, each once unless its value changes. Those of the first keys have
 * a line each; the others of an answer are counted in one line.
 */
final class UnreadableEntryLog {
    /** Maximum number of keys whose entries have lines of their own. */
    private static final int MAX_KEYS = 1_024;

    private final EventLog mEvents;

    /** Digests of the values that were logged. */
    private final Map<String, HashCode> mLogged = new HashMap<>();

    /** Digest of the keys and values that were counted last. */
    private HashCode mCounted = HashCode.fromInt(0);

    UnreadableEntryLog(EventLog events) {
        mEvents = events;
    }

    /** Logs the entries of an answer that weren't logged before. */
    void record(List<UnreadableEntry> entries) {
        List<UnreadableEntry> others = new ArrayList<>();
        for (UnreadableEntry entry : entries) {
            if (mLogged.size() < MAX_KEYS || mLogged.containsKey(entry.key())) {
                recordOne(entry);
            } else {
                others.add(entry);
            }
        }
        if (!others.isEmpty()) {
            count(others);
        }
    }

    private void recordOne(UnreadableEntry entry) {
        HashCode before = mLogged.put(entry.key(), entry.digest());
        if (!entry.digest().equals(before)) {
            mEvents.record(new ForwardEvent.EntryUnreadable(entry.key(), entry.length()));
        }
    }

    private void count(List<UnreadableEntry> others) {
        HashCode digest =
                Hashing.combineUnordered(others.stream().map(UnreadableEntryLog::digest).toList());
        if (!digest.equals(mCounted)) {
            mCounted = digest;
            mEvents.record(
                    new ForwardEvent.MoreEntriesUnreadable(others.size(), others.getFirst().key()));
        }
    }

    private static HashCode digest(UnreadableEntry entry) {
        return Hashing.sha256()
                .newHasher()
                .putString(entry.key(), StandardCharsets.UTF_8)
                .putBytes(entry.digest().asBytes())
                .hash();
    }
}
