package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.service.ServiceAnswer;
import io.smallrye.mutiny.Uni;

/** Receives the answer of a request. */
public interface AnswerSink {
    /** Writes tokens of a completion; offsets are contiguous from 0. */
    void tokens(int offset, int count, String text);

    /** Writes the complete answer of a plain service. */
    void serviceAnswer(ServiceAnswer answer);

    /**
     * Completes when the caller's connection can accept more, so that an answer that is read slowly
     * isn't buffered in memory.
     */
    default Uni<Void> writable() {
        return Uni.createFrom().voidItem();
    }

    /**
     * Registers an action that runs once the complete answer is written or the caller has
     * disconnected.
     */
    void onWritten(Runnable action);

    /** Registers an action that runs when the caller disconnects, or at once if it already has. */
    void onCallerGone(Runnable action);
}
