package io.bilberrygrade.serving.report;

import io.bilberrygrade.serving.filter.AnswerSink;
import io.bilberrygrade.serving.service.ServiceAnswer;

/** Sink that discards the answer. */
final class DiscardingSink implements AnswerSink {
    @Override
    public void tokens(int offset, int count, String text) {}

    @Override
    public void serviceAnswer(ServiceAnswer answer) {}

    @Override
    public void onCallerGone(Runnable action) {}

    @Override
    public void onWritten(Runnable action) {}
}
