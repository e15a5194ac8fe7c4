package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.error.Delivery;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** How far the answer to an attempt has come, as observed by this daemon. */
final class AttemptProgress {
    /** Time after the first event from which the answer no longer counts as just begun. */
    private static final Duration BEGINNING = Duration.ofMillis(100);

    private boolean mSent;
    private boolean mHead;
    private Optional<Instant> mFirstEventAt = Optional.empty();

    void recordSent() {
        mSent = true;
    }

    void recordHead() {
        mHead = true;
    }

    /** Records an event; returns whether it is the first one. */
    boolean recordEvent(Instant now) {
        if (mFirstEventAt.isPresent()) {
            return false;
        }
        mFirstEventAt = Optional.of(now);
        return true;
    }

    /** Returns whether the request was sent. */
    boolean isSent() {
        return mSent;
    }

    /** Returns whether the head of the answer has arrived. */
    boolean hasBegun() {
        return mHead;
    }

    /** Returns whether an event has arrived. */
    boolean isWriting() {
        return mFirstEventAt.isPresent();
    }

    /** Returns whether the answer's content has been arriving for long enough to be under way. */
    boolean hasSettled(Instant now) {
        return mFirstEventAt.filter(t -> !now.isBefore(t.plus(BEGINNING))).isPresent();
    }

    /** Returns what a failure means now: a request that was sent may have run. */
    Delivery delivery() {
        return mSent ? Delivery.MAY_HAVE_RUN : Delivery.NOT_DELIVERED;
    }

    AnswerStage stage() {
        if (isWriting()) {
            return AnswerStage.WRITING;
        }
        if (mHead) {
            return AnswerStage.HEAD;
        }
        return mSent ? AnswerStage.SENT : AnswerStage.CONNECTING;
    }
}
