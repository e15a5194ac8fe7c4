package io.bilberrygrade.core.forward;

import java.util.Comparator;

/**
 * Place in the store's history. Revisions alone don't order what was read: a store that comes back
 * from an older copy gives the same revisions out again, for other changes, in its next era.
 *
 * @param era rises by one each time the store comes back from an older copy; 0 where it says none
 * @param revision counts the changes within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Place before every change. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this place comes before the other one. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns whether both places are in the same era, so that their revisions can be compared. */
    public boolean sameEra(StorePosition other) {
        return era == other.era;
    }

    /** Returns the place of another change of the same era. */
    public StorePosition at(long otherRevision) {
        return new StorePosition(era, otherRevision);
    }

    /** Returns the later of both places. */
    public StorePosition later(StorePosition other) {
        return isBefore(other) ? other : this;
    }
}
