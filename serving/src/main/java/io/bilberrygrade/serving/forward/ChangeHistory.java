package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Recent changes of the published state that this daemon has seen, for peers that don't watch the
 * store themselves. Sending a change twice is harmless, omitting one isn't. All changes belong to
 * one era of the store; the first full read of an era starts it.
 */
final class ChangeHistory {
    /** Limit of the changes kept; a release replaces some hundred endpoints within a minute. */
    static final int MAX_CHANGES = 1_024;

    /** Time within which entries of an older copy have been written again or are ignored. */
    static final Duration ERA_SETTLE_TIME = Duration.ofSeconds(15);

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mOldestRevision = Long.MAX_VALUE;
    private StorePosition mPosition = StorePosition.NONE;
    private Instant mEraBeganAt = Instant.MIN;
    private int mChangeCount;

    /**
     * Adds what a full read has shown to differ from the entries known before. Clears the history
     * if the read doesn't continue it, or shortly after an era has begun: then entries count as
     * written again even if they don't differ.
     */
    void recordFullRead(StorePosition position, ImmutableList<Change> differences, Instant now) {
        boolean begun = mOldestRevision != Long.MAX_VALUE;
        boolean continues = begun && position.sameEra(mPosition) && !position.isBefore(mPosition);
        if (!continues) {
            mEraBeganAt = now;
        }
        if (continues && mEraBeganAt.plus(ERA_SETTLE_TIME).isBefore(now)) {
            add(position, differences);
        } else {
            reset(position);
        }
    }

    /** Clears the history, as of a position at which peers can't continue. */
    void reset(StorePosition position) {
        mBatches.clear();
        mChangeCount = 0;
        mOldestRevision = position.revision();
        mPosition = position;
    }

    /**
     * Adds the changes between the current position and the given one; ignores positions of another
     * era and earlier ones.
     */
    void add(StorePosition position, ImmutableList<Change> changes) {
        if (!position.sameEra(mPosition) || !mPosition.isBefore(position)) {
            return;
        }
        mPosition = position;
        if (changes.isEmpty()) {
            return;
        }
        mBatches.add(new Batch(position.revision(), changes));
        mChangeCount += changes.size();
        while (mChangeCount > MAX_CHANGES) {
            Batch oldest = mBatches.remove();
            mChangeCount -= oldest.changes().size();
            mOldestRevision = oldest.revision();
        }
    }

    /** Returns the position up to which changes were seen. */
    StorePosition position() {
        return mPosition;
    }

    /** Returns all changes after a position; empty if some of them are no longer kept. */
    Optional<ImmutableList<Change>> since(StorePosition position) {
        if (!position.sameEra(mPosition) || position.revision() < mOldestRevision) {
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
