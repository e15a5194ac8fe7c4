package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.CacheEvent;
import io.bilberrygrade.serving.wire.CacheEventKind;
import io.bilberrygrade.serving.wire.CacheEventsDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Log of cache events that can delay and lose events; a lost event leaves a gap in the sequence.
 */
final class CacheEventLog {
    private static final int MAX_EVENTS = 10_000;
    private static final int MAX_EVENTS_PER_ANSWER = 1_000;

    private record Entry(Instant at, CacheEvent event) {}

    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private final UniformRandomProvider mRandom;
    private int mLossPercent;
    private Duration mDelay = Duration.ZERO;
    private long mSequence;

    CacheEventLog(long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    void setFaults(int lossPercent, Duration delay) {
        mLossPercent = lossPercent;
        mDelay = delay;
    }

    void add(Instant now, CacheEventKind kind, String hash) {
        mSequence++;
        if (mRandom.nextInt(100) < mLossPercent) {
            return;
        }
        mEntries.add(new Entry(now, new CacheEvent(mSequence, kind, hash)));
        if (mEntries.size() > MAX_EVENTS) {
            mEntries.remove();
        }
    }

    /** Returns the events above sequence {@code after} that are old enough to be published. */
    CacheEventsDocument read(Instant now, long after) {
        Instant newest = now.minus(mDelay);
        List<CacheEvent> events =
                mEntries.stream()
                        .filter(e -> !e.at().isAfter(newest))
                        .map(Entry::event)
                        .filter(e -> e.sequence() > after)
                        .limit(MAX_EVENTS_PER_ANSWER)
                        .toList();
        long first = mEntries.isEmpty() ? mSequence + 1 : mEntries.element().event().sequence();
        return new CacheEventsDocument(first, events);
    }
}
