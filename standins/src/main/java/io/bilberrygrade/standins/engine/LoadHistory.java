package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.LoadDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** History of load reports, from which a lagging one is published. */
final class LoadHistory {
    private record Entry(Instant at, LoadDocument load) {}

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    /**
     * Adds the current load and removes reports superseded by a newer one that is at least {@code
     * lag} old.
     */
    void add(Instant now, Duration lag, LoadDocument load) {
        mEntries.add(new Entry(now, load));
        Instant newest = now.minus(lag);
        while (mEntries.size() > 1 && !second().at().isAfter(newest)) {
            mEntries.remove();
        }
    }

    private Entry second() {
        return mEntries.stream().skip(1).findFirst().orElseThrow();
    }

    /** Returns the currently published report. */
    LoadDocument read(Instant now) {
        Entry entry = mEntries.element();
        LoadDocument load = entry.load();
        return new LoadDocument(
                Math.max(Duration.between(entry.at(), now).toMillis(), 0),
                load.queuedTokens(),
                load.queuedShortTokens(),
                load.runningRequests(),
                load.freeTokens());
    }
}
