package io.bilberrygrade.core.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Keeps the counts of the most recent minutes in memory, for at most one day and 64 classes. */
public final class ReportHistory {
    /** Maximum number of minutes kept. */
    public static final int MAX_MINUTES = 1_440;

    /**
     * Maximum number of classes counted separately in one minute; further ones are counted
     * together.
     */
    public static final int MAX_CLASSES = 64;

    /** Class that collects the counts beyond {@link #MAX_CLASSES}. */
    public static final WorkClassId OTHER = new WorkClassId("other");

    private static final long SECONDS_PER_MINUTE = 60;

    private final Deque<Minute> mMinutes = new ArrayDeque<>();

    /** Adds counts to the current minute. */
    public void record(WorkClassId workClass, ClassCounts counts, Instant now) {
        Map<WorkClassId, ClassCounts> currentCounts = currentCounts(minute(now));
        boolean full = currentCounts.size() >= MAX_CLASSES && !currentCounts.containsKey(workClass);
        currentCounts.merge(full ? OTHER : workClass, counts, ClassCounts::plus);
    }

    /**
     * Returns the minutes of a period that ends now, oldest first; minutes without counts are left
     * out.
     */
    public ImmutableList<MinuteCounts> since(Duration period, Instant now) {
        long first = minute(now.minus(period));
        return mMinutes.stream()
                .filter(m -> m.mNumber > first)
                .map(m -> new MinuteCounts(m.mNumber, ImmutableMap.copyOf(m.mCounts)))
                .collect(ImmutableList.toImmutableList());
    }

    private Map<WorkClassId, ClassCounts> currentCounts(long number) {
        if (mMinutes.isEmpty() || mMinutes.getLast().mNumber < number) {
            mMinutes.addLast(new Minute(number));
            if (mMinutes.size() > MAX_MINUTES) {
                mMinutes.removeFirst();
            }
        }
        return mMinutes.getLast().mCounts;
    }

    private static long minute(Instant time) {
        return Math.floorDiv(time.getEpochSecond(), SECONDS_PER_MINUTE);
    }

    private static final class Minute {
        private final long mNumber;
        private final Map<WorkClassId, ClassCounts> mCounts = new HashMap<>();

        Minute(long number) {
            mNumber = number;
        }
    }
}
