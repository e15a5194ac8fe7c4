package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.service.ServiceAnswer;
import io.smallrye.mutiny.Uni;

/** Where the answer of a request goes. */
public interface AnswerSink {
    /** Passes on tokens of a completion; offsets are contiguous from 0. */
    void tokens(int offset, int count, String text);

    /** Passes on the whole answer of a plain service. */
    void serviceAnswer(ServiceAnswer answer);

    /**
     * Completes when the caller has room for more, so that an answer that is read slowly isn't
     * gathered in memory.
     */
    default Uni<Void> writable() {
        return Uni.createFrom().voidItem();
    }

    /** Registers what is to be done once the whole answer is written or the caller has gone. */
    void onWritten(Runnable action);

    /** Registers what is to be done when the caller goes away; done at once if it has gone. */
    void onCallerGone(Runnable action);
}
