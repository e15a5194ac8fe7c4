package io.bilberrygrade.core.atmostonce;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records of the keys that one run issued. A record is made before the call runs and is kept until
 * its key expires; an expired key is never run, so that its record can safely be removed.
 */
public final class KeyTable<T> {
    private final Duration mLifetime;
    private final int mMaxKeys;
    private final long mMaxOutcomeBytes;
    private final Map<IdempotencyKey, KeyRecord<T>> mRecords = new LinkedHashMap<>();
    private final Deque<Instant> mIssueTimes = new ArrayDeque<>();
    private final Map<IdempotencyKey, Long> mOutcomeBytesByKey = new LinkedHashMap<>();
    private long mOutcomeBytes;

    /**
     * Creates an empty table. At most {@code maxKeys} keys are unexpired at a time; outcomes take
     * at most {@code maxOutcomeBytes} in total, the oldest are dropped first.
     */
    public KeyTable(Duration lifetime, int maxKeys, long maxOutcomeBytes) {
        mLifetime = lifetime;
        mMaxKeys = maxKeys;
        mMaxOutcomeBytes = maxOutcomeBytes;
    }

    /** Counts a key that is about to be issued; returns false when too many are unexpired. */
    public boolean tryIssue(Instant now) {
        removeExpired(now);
        if (mIssueTimes.size() >= mMaxKeys) {
            return false;
        }
        mIssueTimes.addLast(now);
        return true;
    }

    /** Decides on a submission of the call with the given fingerprint and records the first one. */
    public Submission<T> submit(IdempotencyKey key, String fingerprint, Instant now) {
        removeExpired(now);
        if (isExpired(key, now)) {
            return new Submission.Expired<>();
        }
        KeyRecord<T> existing = mRecords.get(key);
        if (existing == null) {
            mRecords.put(key, new KeyRecord<>(fingerprint));
            return new Submission.Run<>();
        }
        if (!existing.mFingerprint.equals(fingerprint)) {
            return new Submission.KeyReused<>();
        }
        return existing.mEnded ? resultOfEnded(existing) : new Submission.Wait<>();
    }

    private Submission<T> resultOfEnded(KeyRecord<T> existing) {
        return existing.mOutcome
                .<Submission<T>>map(Submission.Repeat::new)
                .orElseGet(Submission.OutcomeDropped::new);
    }

    /** Records the outcome of the call that ran under a key. */
    public void end(IdempotencyKey key, T outcome, long outcomeBytes) {
        KeyRecord<T> existing = mRecords.get(key);
        if (existing == null) {
            return;
        }
        existing.mEnded = true;
        existing.mOutcome = Optional.of(outcome);
        mOutcomeBytesByKey.put(key, outcomeBytes);
        mOutcomeBytes += outcomeBytes;
        Iterator<Map.Entry<IdempotencyKey, Long>> oldest = mOutcomeBytesByKey.entrySet().iterator();
        while (mOutcomeBytes > mMaxOutcomeBytes && oldest.hasNext()) {
            Map.Entry<IdempotencyKey, Long> dropped = oldest.next();
            mOutcomeBytes -= dropped.getValue();
            mRecords.get(dropped.getKey()).mOutcome = Optional.empty();
            oldest.remove();
        }
    }

    /** Returns the number of recorded keys. */
    public int size() {
        return mRecords.size();
    }

    private void removeExpired(Instant now) {
        while (!mIssueTimes.isEmpty() && !now.isBefore(mIssueTimes.peekFirst().plus(mLifetime))) {
            mIssueTimes.removeFirst();
        }
        Iterator<Map.Entry<IdempotencyKey, KeyRecord<T>>> records = mRecords.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<IdempotencyKey, KeyRecord<T>> next = records.next();
            if (!isExpired(next.getKey(), now)) {
                return;
            }
            if (next.getValue().mEnded) {
                Long bytes = mOutcomeBytesByKey.remove(next.getKey());
                mOutcomeBytes -= bytes == null ? 0 : bytes;
                records.remove();
            }
        }
    }

    private boolean isExpired(IdempotencyKey key, Instant now) {
        return !now.isBefore(key.issued().plus(mLifetime));
    }

    private static final class KeyRecord<T> {
        private final String mFingerprint;
        private boolean mEnded;
        private Optional<T> mOutcome = Optional.empty();

        KeyRecord(String fingerprint) {
            mFingerprint = fingerprint;
        }
    }
}
