package io.bilberrygrade.core.answer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the memory that all answers under way hold together. If they hold more, the largest answer
 * of the source whose answers hold most is ended, until the others fit.
 *
 * <p>The load that it answers: a source that writes without end to many callers at once, beside
 * others whose answers are small. Each of its answers may be under the limit of a single one, and
 * smaller than a large answer of a sound source, but its sum exceeds that of the others. Not
 * thread-safe.
 *
 * @param <S> source of answers, such as an endpoint
 */
public final class AnswerMemory<S> {
    private final long mMaxBytes;
    private final Map<S, Long> mHeldBySource = new HashMap<>();
    private final Set<Holding> mHoldings = new HashSet<>();
    private long mHeld;
    private long mEnded;

    /** Creates the limit, in bytes. */
    public AnswerMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the number of bytes that all answers hold. */
    public long heldBytes() {
        return mHeld;
    }

    /** Returns the number of answers that were ended for their memory. */
    public long endedCount() {
        return mEnded;
    }

    /** Adds an answer, which holds nothing yet; {@code end} ends it and releases what it holds. */
    public Holding add(S source, Runnable end) {
        return new Holding(source, end);
    }

    private void endUntilRestFits() {
        while (mHeld > mMaxBytes) {
            Holding largest = largestOfLargestSource().orElseThrow();
            mEnded++;
            largest.release();
            largest.mEnd.run();
        }
    }

    private Optional<Holding> largestOfLargestSource() {
        return mHeldBySource.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .flatMap(
                        s ->
                                mHoldings.stream()
                                        .filter(h -> h.mSource.equals(s))
                                        .max(Comparator.comparingLong(h -> h.mBytes)));
    }

    /** What one answer holds. */
    public final class Holding {
        private final S mSource;
        private Runnable mEnd;
        private long mBytes;
        private boolean mReleased;

        private Holding(S source, Runnable end) {
            mSource = source;
            mEnd = end;
        }

        /** Replaces the action that ends the answer, as when all of it has arrived. */
        public void onEnd(Runnable end) {
            mEnd = end;
        }

        /**
         * Sets the number of bytes that the answer holds now, which may end this answer or others.
         * Does nothing once it was released.
         */
        public void set(long bytes) {
            if (mReleased) {
                return;
            }
            boolean grows = bytes > mBytes;
            change(bytes);
            if (grows) {
                endUntilRestFits();
            }
        }

        /** Releases what the answer holds, for good. */
        public void release() {
            change(0);
            mReleased = true;
        }

        private void change(long bytes) {
            long added = bytes - mBytes;
            if (added == 0) {
                return;
            }
            mHeld += added;
            mHeldBySource.merge(mSource, added, AnswerMemory::sumUnlessZero);
            mBytes = bytes;
            if (bytes > 0) {
                mHoldings.add(this);
            } else {
                mHoldings.remove(this);
            }
        }
    }

    /** Returns the sum, or null, which removes the source from the map. */
    private static Long sumUnlessZero(Long held, Long added) {
        long sum = held + added;
        return sum == 0 ? null : Long.valueOf(sum);
    }
}
