package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.answer.AnswerBody;
import java.util.Optional;

/** The last error that an endpoint answered, kept in case that no other endpoint does better. */
final class LastFailure {
    private Optional<ErrorAnswer> mAnswer = Optional.empty();

    boolean isPresent() {
        return mAnswer.isPresent();
    }

    /** Keeps an error instead of the last one, unless answers come to hold too much meanwhile. */
    void replace(AnswerHead head, AnswerBody body) {
        drop();
        mAnswer = Optional.of(new ErrorAnswer(head, body));
        body.onEnded(this::drop);
    }

    /** Returns the error, whose body is no longer kept here. */
    ErrorAnswer take() {
        ErrorAnswer answer = mAnswer.orElseThrow();
        mAnswer = Optional.empty();
        return answer;
    }

    /** Drops the error and releases its body. */
    void drop() {
        mAnswer.ifPresent(a -> a.body().release());
        mAnswer = Optional.empty();
    }

    /** Whole answer with an error status. */
    record ErrorAnswer(AnswerHead head, AnswerBody body) {}
}
