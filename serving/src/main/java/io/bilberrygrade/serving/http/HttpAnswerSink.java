package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.filter.AnswerSink;
import io.bilberrygrade.serving.http.CompletionDocuments.Choice;
import io.bilberrygrade.serving.http.CompletionDocuments.CompletionDocument;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.service.ServiceAnswer;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Writes an answer to the caller, as server-sent events or as one JSON document. */
final class HttpAnswerSink implements AnswerSink {
    private static final String DONE_EVENT = "data: [DONE]\n\n";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final RequestId mId;
    private final String mModel;
    private final boolean mStream;
    private final HttpServerResponse mResponse;
    private final StringBuilder mText = new StringBuilder();
    private final List<Runnable> mDisconnectActions = new ArrayList<>();
    private Optional<ServiceAnswer> mServiceAnswer = Optional.empty();
    private boolean mEnded;
    private boolean mDisconnected;
    private Optional<Runnable> mWrittenAction = Optional.empty();

    HttpAnswerSink(RequestId id, String model, boolean stream, HttpServerResponse response) {
        mId = id;
        mModel = model;
        mStream = stream;
        mResponse = response;
        response.closeHandler(v -> onDisconnect());
        response.exceptionHandler(e -> onDisconnect());
    }

    @Override
    public void tokens(int offset, int count, String text) {
        if (!mStream) {
            mText.append(text);
            return;
        }
        if (!mResponse.headWritten()) {
            mResponse.setChunked(true);
            mResponse.putHeader("Content-Type", "text/event-stream");
            mResponse.putHeader("Cache-Control", "no-store");
        }
        write(event(document(text, Optional.empty())));
    }

    @Override
    public void serviceAnswer(ServiceAnswer answer) {
        mServiceAnswer = Optional.of(answer);
    }

    @Override
    public Uni<Void> writable() {
        if (!mStream || mEnded || !mResponse.writeQueueFull()) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom().emitter(e -> mResponse.drainHandler(v -> e.complete(null)));
    }

    @Override
    public void onWritten(Runnable action) {
        mWrittenAction = Optional.of(action);
    }

    @Override
    public void onCallerGone(Runnable action) {
        if (mDisconnected) {
            action.run();
        } else {
            mDisconnectActions.add(action);
        }
    }

    /** Writes the outcome and ends the answer. */
    void end(Outcome outcome) {
        mEnded = true;
        if (mResponse.ended() || mResponse.closed()) {
            runWrittenAction();
            return;
        }
        switch (outcome) {
            case Outcome.Done d -> endDone();
            case Outcome.NotRun n ->
                    endError(outcome, ErrorDocument.of(mId.value(), n), n.retryAfter());
            case Outcome.Unknown u ->
                    endError(outcome, ErrorDocument.of(mId.value(), u), u.retryAfter());
        }
    }

    private void endDone() {
        if (mServiceAnswer.isPresent()) {
            ServiceAnswer answer = mServiceAnswer.get();
            mResponse.setStatusCode(answer.status());
            answer.contentType().ifPresent(t -> mResponse.putHeader("Content-Type", t));
            finish(answer.body());
        } else if (mStream) {
            finish(Buffer.buffer(event(document("", Optional.of("stop"))) + DONE_EVENT));
        } else {
            mResponse.putHeader("Content-Type", "application/json");
            finish(Buffer.buffer(json(document(mText.toString(), Optional.of("stop")))));
        }
    }

    private void endError(Outcome outcome, ErrorDocument error, Optional<Duration> retryAfter) {
        if (mResponse.headWritten()) {
            finish(Buffer.buffer("event: error\n" + event(error)));
            return;
        }
        mResponse.setStatusCode(StatusCodes.of(outcome));
        mResponse.putHeader("Content-Type", "application/json");
        retryAfter.ifPresent(r -> mResponse.putHeader("Retry-After", seconds(r)));
        finish(Buffer.buffer(json(error)));
    }

    private static String seconds(Duration retryAfter) {
        long millis = Math.max(1, retryAfter.toMillis());
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private CompletionDocument document(String text, Optional<String> finishReason) {
        return new CompletionDocument(
                mId.value(), "text_completion", mModel, List.of(new Choice(0, text, finishReason)));
    }

    private void write(String text) {
        mResponse.write(text).onFailure(e -> onDisconnect());
    }

    private void finish(Buffer last) {
        mResponse.end(last).onComplete(written -> runWrittenAction());
    }

    private void runWrittenAction() {
        mWrittenAction.ifPresent(Runnable::run);
        mWrittenAction = Optional.empty();
    }

    private void onDisconnect() {
        if (!mEnded) {
            mEnded = true;
            mDisconnected = true;
            mDisconnectActions.forEach(Runnable::run);
        }
    }

    private static String event(Object value) {
        return "data: " + json(value) + "\n\n";
    }

    private static String json(Object value) {
        try {
            return Mappers.JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
