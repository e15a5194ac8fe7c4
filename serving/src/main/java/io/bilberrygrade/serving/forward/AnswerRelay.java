package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.answer.MalformedStreamException;
import io.bilberrygrade.serving.answer.StreamEvent;
import io.bilberrygrade.serving.error.ErrorGuard;
import io.bilberrygrade.serving.room.SilenceWatch;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays a stream to the caller, also when several endpoints serve it in turn: complete events
 * only, each once and in order, with the head of the first endpoint's answer.
 */
final class AnswerRelay {
    private final CallerAnswer mAnswer;
    private Optional<Long> mLastId;
    private Optional<Instant> mFirstEventAt = Optional.empty();
    private boolean mBegun;
    private long mEventCount;

    AnswerRelay(CallerAnswer answer, Optional<Long> resumeAfter) {
        mAnswer = answer;
        mLastId = resumeAfter;
    }

    /** Returns whether a part of the answer was sent to the caller. */
    boolean hasBegun() {
        return mBegun;
    }

    /**
     * Returns the id of the last event that was sent to the caller, or from which the caller
     * resumes.
     */
    Optional<Long> lastId() {
        return mLastId;
    }

    /** Returns the number of relayed events. */
    long eventCount() {
        return mEventCount;
    }

    /** Returns when the first event was relayed, from any endpoint. */
    Optional<Instant> firstEventAt() {
        return mFirstEventAt;
    }

    CallerAnswer answer() {
        return mAnswer;
    }

    /** Relays an event; its source isn't read until the caller can take more. */
    void relay(AnswerHead head, StreamEvent event, Source source, Instant now)
            throws MalformedStreamException {
        if (!relay(head, event, now)) {
            source.pause(event);
            mAnswer.onWritable(source.guard().wrap(source::resume));
        }
    }

    private boolean relay(AnswerHead head, StreamEvent event, Instant now)
            throws MalformedStreamException {
        checkOrder(event.id());
        if (!mBegun) {
            mBegun = true;
            mFirstEventAt = Optional.of(now);
            mAnswer.begin(head);
        }
        mEventCount++;
        return mAnswer.write(event.bytes());
    }

    /** What an attempt's answer is read from, with what counts while it is read. */
    record Source(EndpointCall call, SilenceWatch silence, AnswerBody body, ErrorGuard guard) {
        private void pause(StreamEvent event) {
            call.pause();
            silence.suspend();
            body.onCallerBlocked(event.bytes());
        }

        private void resume() {
            body.onCallerReady();
            silence.resume();
            call.resume();
        }
    }

    private void checkOrder(OptionalLong id) throws MalformedStreamException {
        if (id.isEmpty()) {
            return;
        }
        if (mLastId.isPresent() && id.getAsLong() != mLastId.get() + 1) {
            throw new MalformedStreamException(
                    "event " + id.getAsLong() + " follows event " + mLastId.get());
        }
        mLastId = Optional.of(id.getAsLong());
    }

    /**
     * Ends the answer; sends the head and an empty body if there were no events. What the body
     * holds is released once all is sent.
     */
    void end(AnswerHead head, AnswerBody body) {
        if (!mBegun) {
            mBegun = true;
            mAnswer.writeWhole(head, body);
        } else {
            mAnswer.onEnd(body::release);
            mAnswer.end();
        }
    }
}
