package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Latest changes of the published state that this daemon has seen, for peers that don't watch the
 * store themselves. Changes that are told twice do no harm, as long as none is left out.
 */
final class ChangeHistory {
    /** Changes that are kept; a release replaces some hundred endpoints within a minute. */
    static final int MAX_CHANGES = 1_024;

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mKnownFrom = Long.MAX_VALUE;
    private long mRevision;
    private int mChanges;

    /** Begins anew after a whole reading, whose changes aren't known one by one. */
    void readWhole(long revision) {
        mBatches.clear();
        mChanges = 0;
        mKnownFrom = revision;
        mRevision = revision;
    }

    /** Adds the changes up to a revision that follow those seen before. */
    void add(long revision, ImmutableList<Change> changes) {
        if (revision <= mRevision) {
            return;
        }
        mRevision = revision;
        if (changes.isEmpty()) {
            return;
        }
        mBatches.add(new Batch(revision, changes));
        mChanges += changes.size();
        while (mChanges > MAX_CHANGES) {
            Batch oldest = mBatches.remove();
            mChanges -= oldest.changes().size();
            mKnownFrom = oldest.revision();
        }
    }

    /** Returns the revision up to which changes were seen. */
    long revision() {
        return mRevision;
    }

    /** Returns all changes after a revision; empty if some of them aren't known. */
    Optional<ImmutableList<Change>> since(long revision) {
        if (revision < mKnownFrom) {
            return Optional.empty();
        }
        return Optional.of(
                mBatches.stream()
                        .filter(b -> b.revision() > revision)
                        .flatMap(b -> b.changes().stream())
                        .collect(ImmutableList.toImmutableList()));
    }

    private record Batch(long revision, ImmutableList<Change> changes) {}
}
