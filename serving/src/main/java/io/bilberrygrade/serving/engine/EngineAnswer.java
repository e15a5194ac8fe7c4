package io.bilberrygrade.serving.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.http.HttpCall;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.serving.wire.EngineLine;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.MultiHelper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Answer stream of one engine request. Lines are read only on demand, so that a slow caller applies
 * backpressure to the engine instead of filling memory.
 */
final class EngineAnswer {
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final String mEngine;
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private Optional<HttpClientResponse> mResponse = Optional.empty();
    private Optional<Future<Void>> mEnd = Optional.empty();
    private boolean mFinished;
    private boolean mClosed;

    EngineAnswer(String engine) {
        mEngine = engine;
    }

    /** Sends the request, unless {@code prepare} returns false, and streams the answer. */
    Multi<EngineEvent> open(
            Supplier<Future<HttpClientRequest>> request,
            Predicate<HttpClientRequest> prepare,
            Buffer body) {
        return Uni.createFrom()
                .completionStage(() -> request.get().toCompletionStage())
                .onFailure()
                .transform(e -> failure(HttpCall.delivery(e), e))
                .onItem()
                .transformToUni(r -> send(r, prepare, body))
                .onItem()
                .transformToMulti(this::read);
    }

    private Uni<HttpClientResponse> send(
            HttpClientRequest request, Predicate<HttpClientRequest> prepare, Buffer body) {
        mRequest = Optional.of(request);
        if (mClosed || !prepare.test(request)) {
            request.reset();
            return Uni.createFrom().failure(failure(Delivery.NOT_DELIVERED, "no time is left"));
        }
        return Uni.createFrom()
                .completionStage(
                        () ->
                                request.send(body)
                                        .onSuccess(HttpClientResponse::pause)
                                        .toCompletionStage())
                .onFailure()
                .transform(e -> failure(Delivery.MAY_HAVE_RUN, e));
    }

    private Multi<EngineEvent> read(HttpClientResponse response) {
        mResponse = Optional.of(response);
        mEnd = Optional.of(response.end());
        if (response.statusCode() != HTTP_OK) {
            return refusal(response);
        }
        RecordParser lines = RecordParser.newDelimited("\n", response);
        lines.maxRecordSize(MAX_LINE_BYTES);
        Multi<EngineEvent> events =
                MultiHelper.toMulti(lines)
                        .onFailure()
                        .transform(e -> failure(Delivery.MAY_HAVE_RUN, e))
                        .onItem()
                        .transformToUniAndConcatenate(this::parseEvent);
        return Multi.createBy()
                .concatenating()
                .streams(
                        Multi.createFrom().item(new EngineEvent.Accepted(parseLoad(response))),
                        events);
    }

    private Multi<EngineEvent> refusal(HttpClientResponse response) {
        return Uni.createFrom()
                .completionStage(
                        () -> {
                            Future<Buffer> body = response.body();
                            response.resume();
                            return body.toCompletionStage();
                        })
                .onFailure()
                .transform(e -> failure(Delivery.MAY_HAVE_RUN, e))
                .onItem()
                .transformToMulti(
                        body -> Multi.createFrom().failure(refusal(response.statusCode(), body)));
    }

    private CallException refusal(int status, Buffer body) {
        mFinished = true;
        if (status != HTTP_CONFLICT) {
            return failure(Delivery.MAY_HAVE_RUN, "status " + status + " " + body);
        }
        return CallException.refused(Step.DISPATCH, mEngine, parseReason(body));
    }

    private static String parseReason(Buffer body) {
        try {
            return Mappers.JSON.readValue(body.getBytes(), RefusalDocument.class).reason();
        } catch (IOException e) {
            return "unspecified";
        }
    }

    private Uni<EngineEvent> parseEvent(Buffer line) {
        try {
            return switch (Mappers.JSON.readValue(line.getBytes(), EngineLine.class)) {
                case EngineLine.Tokens t ->
                        item(new EngineEvent.Tokens(t.offset(), t.count(), t.text()));
                case EngineLine.Finished f -> {
                    mFinished = true;
                    yield item(new EngineEvent.Finished(f.tokens()));
                }
                case EngineLine.Failed f ->
                        Uni.createFrom().failure(failure(Delivery.MAY_HAVE_RUN, f.reason()));
            };
        } catch (IOException e) {
            return Uni.createFrom().failure(failure(Delivery.MAY_HAVE_RUN, e));
        }
    }

    private static Uni<EngineEvent> item(EngineEvent event) {
        return Uni.createFrom().item(event);
    }

    private static Optional<LoadDocument> parseLoad(HttpClientResponse response) {
        String header = response.getHeader(EndpointHeaders.LOAD);
        if (header == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Mappers.JSON.readValue(header, LoadDocument.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Closes the answer. If it is incomplete, resets the request, which cancels it on the engine;
     * if it is complete, keeps the connection for reuse.
     */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        Context context = Vertx.currentContext();
        if (mFinished && context != null) {
            context.runOnContext(v -> mResponse.ifPresent(this::discardRest));
        } else {
            mRequest.ifPresent(HttpClientRequest::reset);
        }
    }

    private void discardRest(HttpClientResponse response) {
        if (mEnd.orElseThrow().isComplete()) {
            return;
        }
        response.exceptionHandler(e -> {});
        response.handler(b -> {});
        response.resume();
    }

    private CallException failure(Delivery delivery, Throwable cause) {
        return new CallException(Step.DISPATCH, mEngine, delivery, cause.toString(), cause);
    }

    private CallException failure(Delivery delivery, String message) {
        return new CallException(Step.DISPATCH, mEngine, delivery, message);
    }
}
