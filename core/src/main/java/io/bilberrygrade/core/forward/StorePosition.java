package io.bilberrygrade.core.forward;

import java.util.Comparator;

/**
 * Position in the store's history. Revisions alone don't order reads: a store that is restored from
 * an older copy reuses the same revisions for other changes in its next era.
 *
 * @param era incremented each time the store is restored from an older copy; 0 if the store doesn't
 *     report one
 * @param revision number of changes within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Position before every change. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this position precedes the other one. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /**
     * Returns whether both positions are in the same era, so that their revisions are comparable.
     */
    public boolean sameEra(StorePosition other) {
        return era == other.era;
    }

    /** Returns the position of another revision of the same era. */
    public StorePosition at(long otherRevision) {
        return new StorePosition(era, otherRevision);
    }

    /** Returns the later of the two positions. */
    public StorePosition later(StorePosition other) {
        return isBefore(other) ? other : this;
    }
}
