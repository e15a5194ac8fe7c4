package io.bilberrygrade.serving.filter;

import io.bilberrygrade.serving.service.ServiceAnswer;

/** Where the answer of a request goes. */
public interface AnswerSink {
    /** Passes on tokens of a completion; offsets are contiguous from 0. */
    void tokens(int offset, int count, String text);

    /** Passes on the whole answer of a plain service. */
    void serviceAnswer(ServiceAnswer answer);

    /** Registers what is to be done when the caller goes away. */
    void onCallerGone(Runnable action);
}
