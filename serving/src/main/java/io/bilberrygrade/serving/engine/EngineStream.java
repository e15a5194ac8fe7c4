package io.bilberrygrade.serving.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.http.HttpCall;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.wire.EngineLine;
import io.bilberrygrade.serving.wire.Headers;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/** Opens an engine's answer stream and reads it line by line. */
final class EngineStream {
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

    private final HttpClient mClient;

    EngineStream(HttpCalls calls) {
        mClient = calls.streaming().getDelegate();
    }

    Multi<EngineEvent> open(Endpoint engine, GenerateCall call) {
        return Multi.createFrom().emitter(emitter -> start(engine, call, emitter));
    }

    private void start(Endpoint engine, GenerateCall call, MultiEmitter<? super EngineEvent> out) {
        Duration remaining =
                call.remaining().compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : call.remaining();
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(engine.address().host())
                        .setPort(engine.address().port())
                        .setURI("/v1/completions");
        mClient.request(options)
                .onFailure(e -> out.fail(failure(engine, HttpCall.delivery(e), e)))
                .onSuccess(request -> send(engine, call, remaining, request, out));
    }

    private void send(
            Endpoint engine,
            GenerateCall call,
            Duration remaining,
            HttpClientRequest request,
            MultiEmitter<? super EngineEvent> out) {
        if (out.isCancelled()) {
            request.reset();
            return;
        }
        out.onTermination(request::reset);
        request.idleTimeout(remaining.toMillis());
        putHeaders(call, request);
        request.send(call.body())
                .onFailure(e -> out.fail(failure(engine, Delivery.MAY_HAVE_RUN, e)))
                .onSuccess(response -> read(engine, response, out));
    }

    private static void putHeaders(GenerateCall call, HttpClientRequest request) {
        Prompt prompt = call.request().prompt();
        request.putHeader("Content-Type", "application/json")
                .putHeader(Headers.REQUEST_ID, call.request().id().value())
                .putHeader(Headers.ATTEMPT, Integer.toString(call.attempt()))
                .putHeader(Headers.INCARNATION, Long.toString(call.incarnation().value()))
                .putHeader(Headers.MODEL, call.request().model().value())
                .putHeader(Headers.PRIORITY, Integer.toString(call.priority()))
                .putHeader(Headers.DEADLINE_MILLIS, Long.toString(call.remaining().toMillis()))
                .putHeader(Headers.PROMPT_TOKENS, Integer.toString(prompt.tokens()))
                .putHeader(Headers.MAX_TOKENS, Integer.toString(prompt.maxAnswerTokens()))
                .putHeader(Headers.RESUME_OFFSET, Integer.toString(call.resumeOffset()))
                .putHeader(Headers.PREFIX_HASHES, hashes(prompt.prefixHashes().stream()));
        call.reservationId().ifPresent(id -> request.putHeader(Headers.RESERVATION_ID, id));
        if (!call.imports().isEmpty()) {
            request.putHeader(Headers.IMPORT, HttpModelEngine.imports(call.imports()));
        }
    }

    private static String hashes(LongStream hashes) {
        return hashes.mapToObj(Long::toHexString).collect(Collectors.joining(","));
    }

    private static void read(
            Endpoint engine, HttpClientResponse response, MultiEmitter<? super EngineEvent> out) {
        if (response.statusCode() != HTTP_OK) {
            refuse(engine, response, out);
            return;
        }
        out.emit(new EngineEvent.Accepted(load(response)));
        RecordParser lines = RecordParser.newDelimited("\n", response);
        lines.maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(e -> out.fail(failure(engine, Delivery.MAY_HAVE_RUN, e)));
        lines.handler(line -> emit(engine, line, out));
        lines.endHandler(
                v ->
                        out.fail(
                                failure(
                                        engine,
                                        Delivery.MAY_HAVE_RUN,
                                        new IOException("the stream ended early"))));
    }

    private static void refuse(
            Endpoint engine, HttpClientResponse response, MultiEmitter<? super EngineEvent> out) {
        Delivery delivery =
                response.statusCode() == HTTP_CONFLICT ? Delivery.REFUSED : Delivery.MAY_HAVE_RUN;
        response.body()
                .onComplete(
                        body ->
                                out.fail(
                                        failure(
                                                engine,
                                                delivery,
                                                new IOException(
                                                        "status "
                                                                + response.statusCode()
                                                                + " "
                                                                + body.result()))));
    }

    private static void emit(Endpoint engine, Buffer line, MultiEmitter<? super EngineEvent> out) {
        try {
            switch (Mappers.JSON.readValue(line.getBytes(), EngineLine.class)) {
                case EngineLine.Tokens t ->
                        out.emit(new EngineEvent.Tokens(t.offset(), t.count(), t.text()));
                case EngineLine.Finished f -> {
                    out.emit(new EngineEvent.Finished(f.tokens()));
                    out.complete();
                }
                case EngineLine.Failed f ->
                        out.fail(
                                failure(
                                        engine,
                                        Delivery.MAY_HAVE_RUN,
                                        new IOException(f.reason())));
            }
        } catch (IOException e) {
            out.fail(failure(engine, Delivery.MAY_HAVE_RUN, e));
        }
    }

    private static Optional<LoadDocument> load(HttpClientResponse response) {
        String header = response.getHeader(Headers.LOAD);
        if (header == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Mappers.JSON.readValue(header, LoadDocument.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static CallException failure(Endpoint engine, Delivery delivery, Throwable cause) {
        return new CallException(
                Step.DISPATCH, engine.id().value(), delivery, cause.toString(), cause);
    }
}
