package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Latest changes of the published state that this daemon has seen, for peers that don't watch the
 * store themselves. Changes that are told twice do no harm, as long as none is left out. All are of
 * one era of the store; a whole reading begins the next.
 */
final class ChangeHistory {
    /** Changes that are kept; a release replaces some hundred endpoints within a minute. */
    static final int MAX_CHANGES = 1_024;

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mKnownFrom = Long.MAX_VALUE;
    private StorePosition mPosition = StorePosition.NONE;
    private int mChanges;

    /** Begins anew after a whole reading, whose changes aren't known one by one. */
    void readWhole(StorePosition position) {
        mBatches.clear();
        mChanges = 0;
        mKnownFrom = position.revision();
        mPosition = position;
    }

    /** Adds the changes up to a position of the same era that follow those seen before. */
    void add(StorePosition position, ImmutableList<Change> changes) {
        if (!position.sameEra(mPosition) || !mPosition.isBefore(position)) {
            return;
        }
        mPosition = position;
        if (changes.isEmpty()) {
            return;
        }
        mBatches.add(new Batch(position.revision(), changes));
        mChanges += changes.size();
        while (mChanges > MAX_CHANGES) {
            Batch oldest = mBatches.remove();
            mChanges -= oldest.changes().size();
            mKnownFrom = oldest.revision();
        }
    }

    /** Returns the position up to which changes were seen. */
    StorePosition position() {
        return mPosition;
    }

    /** Returns all changes after a position; empty if some of them aren't known. */
    Optional<ImmutableList<Change>> since(StorePosition position) {
        if (!position.sameEra(mPosition) || position.revision() < mKnownFrom) {
            return Optional.empty();
        }
        return Optional.of(
                mBatches.stream()
                        .filter(b -> b.revision() > position.revision())
                        .flatMap(b -> b.changes().stream())
                        .collect(ImmutableList.toImmutableList()));
    }

    private record Batch(long revision, ImmutableList<Change> changes) {}
}
