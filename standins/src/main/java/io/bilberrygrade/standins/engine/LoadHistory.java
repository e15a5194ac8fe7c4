package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.LoadDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Past load reports, so that the published one lags. */
final class LoadHistory {
    private record Entry(Instant at, LoadDocument load) {}

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    /** Adds the present load and forgets reports that a newer one old enough replaces. */
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

    /** Returns the report that is published now. */
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
