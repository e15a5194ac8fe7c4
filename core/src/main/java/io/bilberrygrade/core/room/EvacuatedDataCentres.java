package io.bilberrygrade.core.room;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.DataCentreId;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Data centres whose endpoints get no requests, as the operator has marked them in the store.
 *
 * <p>Addresses the load of a data centre that is emptied during a burst: marks arrive from the
 * watch, complete reads and peers in any order, so each mark and each withdrawal is kept with the
 * position at which the store was written, and an earlier position never replaces a later one. No
 * mark ends by itself: it ends by a withdrawal, or by a complete read that no longer has it.
 */
public final class EvacuatedDataCentres {
    /**
     * Maximum number of withdrawals kept, which only have to outlast messages in flight;
     * deployments have fewer data centres.
     */
    static final int MAX_WITHDRAWALS = 256;

    private final Map<DataCentreId, Mark> mMarks = new LinkedHashMap<>();
    private final Map<DataCentreId, Mark> mWithdrawals = new LinkedHashMap<>();

    /** Returns whether a data centre is evacuated. */
    public boolean contains(DataCentreId dataCentre) {
        return mMarks.containsKey(dataCentre);
    }

    /** Returns the number of evacuated data centres. */
    public int size() {
        return mMarks.size();
    }

    /** Returns the mark of a data centre. */
    public Optional<Mark> find(DataCentreId dataCentre) {
        return Optional.ofNullable(mMarks.get(dataCentre));
    }

    /** Returns all marks and the withdrawals that are still kept. */
    public ImmutableList<Mark> all() {
        return ImmutableList.<Mark>builder()
                .addAll(mMarks.values())
                .addAll(mWithdrawals.values())
                .build();
    }

    /**
     * Records that the store had a mark, or no longer had it, at a position. Returns whether the
     * data centre's state changed by it.
     */
    public boolean record(DataCentreId dataCentre, StorePosition at, boolean marked, Instant now) {
        Mark before =
                Optional.ofNullable(mMarks.get(dataCentre))
                        .orElseGet(() -> mWithdrawals.get(dataCentre));
        if (before != null && !before.at().isBefore(at)) {
            return false;
        }
        boolean wasMarked = mMarks.containsKey(dataCentre);
        Instant since = before != null && wasMarked == marked ? before.since() : now;
        set(new Mark(dataCentre, at, marked, since));
        return wasMarked != marked;
    }

    private void set(Mark mark) {
        mMarks.remove(mark.dataCentre());
        mWithdrawals.remove(mark.dataCentre());
        (mark.marked() ? mMarks : mWithdrawals).put(mark.dataCentre(), mark);
        if (mWithdrawals.size() > MAX_WITHDRAWALS) {
            mWithdrawals.remove(mWithdrawals.keySet().iterator().next());
        }
    }

    /**
     * Applies a complete read of all marks. A mark that it lacks ends, unless the mark is of an
     * earlier era and {@code mayLackMarks} is set: the store was then restored from an older copy,
     * and the operator may not have written the mark again yet.
     *
     * @param read marks with the positions at which they were written
     * @param at position at which the marks were read
     */
    public ReadResult recordRead(
            ImmutableMap<DataCentreId, StorePosition> read,
            StorePosition at,
            boolean mayLackMarks,
            Instant now) {
        ImmutableList.Builder<Mark> changed = ImmutableList.builder();
        ImmutableList.Builder<Mark> kept = ImmutableList.builder();
        read.forEach(
                (id, position) -> {
                    if (record(id, position, true, now)) {
                        changed.add(mMarks.get(id));
                    }
                });
        for (Mark mark : ImmutableList.copyOf(mMarks.values())) {
            if (read.containsKey(mark.dataCentre()) || !mark.at().isBefore(at)) {
                continue;
            }
            if (mayLackMarks && !mark.at().sameEra(at)) {
                kept.add(mark);
            } else {
                record(mark.dataCentre(), at, false, now);
                changed.add(new Mark(mark.dataCentre(), at, false, mark.since()));
            }
        }
        return new ReadResult(changed.build(), kept.build());
    }

    /** Returns whether a mark was written in an earlier era than the given one. */
    public boolean hasMarksBefore(long era) {
        return mMarks.values().stream().anyMatch(m -> m.at().era() < era);
    }

    /**
     * State of a data centre.
     *
     * @param at position at which the store was written, or was read without the mark
     * @param marked whether it is evacuated; otherwise its mark was withdrawn
     * @param since when this instance learnt of it
     */
    public record Mark(DataCentreId dataCentre, StorePosition at, boolean marked, Instant since) {}

    /**
     * Effect of a complete read.
     *
     * @param changed states that changed; a withdrawn one has the time since which it was marked
     * @param kept marks that the read lacks and that are kept nevertheless
     */
    public record ReadResult(ImmutableList<Mark> changed, ImmutableList<Mark> kept) {}
}
