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
 * What one run remembers of the keys that it issued. A record is made before the call is run and is
 * kept until its key expires; a key past its lifetime is never run, so that forgetting it is safe.
 */
public final class KeyTable<T> {
    private final Duration mLifetime;
    private final int mMaxKeys;
    private final long mMaxOutcomeBytes;
    private final Map<IdempotencyKey, KeyRecord<T>> mRecords = new LinkedHashMap<>();
    private final Deque<Instant> mIssued = new ArrayDeque<>();
    private final Map<IdempotencyKey, Long> mKept = new LinkedHashMap<>();
    private long mOutcomeBytes;

    /**
     * Creates an empty table. At most {@code maxKeys} keys are alive at a time; outcomes take at
     * most {@code maxOutcomeBytes} altogether, the oldest are dropped first.
     */
    public KeyTable(Duration lifetime, int maxKeys, long maxOutcomeBytes) {
        mLifetime = lifetime;
        mMaxKeys = maxKeys;
        mMaxOutcomeBytes = maxOutcomeBytes;
    }

    /** Counts a key that is about to be issued; returns false when too many are alive. */
    public boolean mayIssue(Instant now) {
        expire(now);
        if (mIssued.size() >= mMaxKeys) {
            return false;
        }
        mIssued.addLast(now);
        return true;
    }

    /** Decides on a submission of the call with the given fingerprint and records the first. */
    public Submission<T> submit(IdempotencyKey key, String fingerprint, Instant now) {
        expire(now);
        if (expired(key, now)) {
            return new Submission.Expired<>();
        }
        KeyRecord<T> known = mRecords.get(key);
        if (known == null) {
            mRecords.put(key, new KeyRecord<>(fingerprint));
            return new Submission.Run<>();
        }
        if (!known.mFingerprint.equals(fingerprint)) {
            return new Submission.OtherCall<>();
        }
        return known.mEnded ? ended(known) : new Submission.Wait<>();
    }

    private Submission<T> ended(KeyRecord<T> known) {
        return known.mOutcome
                .<Submission<T>>map(Submission.Repeat::new)
                .orElseGet(Submission.NotKept::new);
    }

    /** Records the outcome of the call that was run under a key. */
    public void end(IdempotencyKey key, T outcome, long outcomeBytes) {
        KeyRecord<T> known = mRecords.get(key);
        if (known == null) {
            return;
        }
        known.mEnded = true;
        known.mOutcome = Optional.of(outcome);
        mKept.put(key, outcomeBytes);
        mOutcomeBytes += outcomeBytes;
        Iterator<Map.Entry<IdempotencyKey, Long>> oldest = mKept.entrySet().iterator();
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

    private void expire(Instant now) {
        while (!mIssued.isEmpty() && !now.isBefore(mIssued.peekFirst().plus(mLifetime))) {
            mIssued.removeFirst();
        }
        Iterator<Map.Entry<IdempotencyKey, KeyRecord<T>>> records = mRecords.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<IdempotencyKey, KeyRecord<T>> next = records.next();
            if (!expired(next.getKey(), now)) {
                return;
            }
            if (next.getValue().mEnded) {
                Long bytes = mKept.remove(next.getKey());
                mOutcomeBytes -= bytes == null ? 0 : bytes;
                records.remove();
            }
        }
    }

    private boolean expired(IdempotencyKey key, Instant now) {
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
