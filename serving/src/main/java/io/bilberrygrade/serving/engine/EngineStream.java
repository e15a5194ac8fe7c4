package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.smallrye.mutiny.Multi;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.time.InstantSource;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/** Opens answer streams of engines. */
final class EngineStream {
    private static final Duration IDLE_GRACE = Duration.ofSeconds(1);

    private final HttpClient mClient;
    private final InstantSource mClock;

    EngineStream(HttpCalls calls, InstantSource clock) {
        mClient = calls.streamingClient().getDelegate();
        mClock = clock;
    }

    Multi<EngineEvent> open(Endpoint engine, GenerateCall call) {
        return Multi.createFrom()
                .deferred(
                        () -> {
                            EngineAnswer answer = new EngineAnswer(engine.id().value());
                            return answer.open(
                                            () -> mClient.request(options(engine)),
                                            request -> prepare(call, request),
                                            call.body())
                                    .onTermination()
                                    .invoke(answer::close);
                        });
    }

    private static RequestOptions options(Endpoint engine) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(engine.address().host())
                .setPort(engine.address().port())
                .setURI("/v1/completions");
    }

    /** Sets the timeout and headers of the request; returns false if the deadline has passed. */
    private boolean prepare(GenerateCall call, HttpClientRequest request) {
        Duration remaining = call.request().remaining(mClock.instant());
        if (remaining.toMillis() <= 0) {
            return false;
        }
        request.idleTimeout(remaining.plus(IDLE_GRACE).toMillis());
        putHeaders(call, remaining, request);
        return true;
    }

    private static void putHeaders(
            GenerateCall call, Duration remaining, HttpClientRequest request) {
        Prompt prompt = call.request().prompt();
        request.putHeader("Content-Type", "application/json")
                .putHeader(EndpointHeaders.REQUEST_ID, call.request().id().value())
                .putHeader(EndpointHeaders.ATTEMPT, Integer.toString(call.attempt()))
                .putHeader(EndpointHeaders.INCARNATION, Long.toString(call.incarnation().value()))
                .putHeader(EndpointHeaders.MODEL, call.request().model().value())
                .putHeader(EndpointHeaders.PRIORITY, Integer.toString(call.priority()))
                .putHeader(EndpointHeaders.DEADLINE_MILLIS, Long.toString(remaining.toMillis()))
                .putHeader(EndpointHeaders.PROMPT_TOKENS, Integer.toString(prompt.tokens()))
                .putHeader(EndpointHeaders.MAX_TOKENS, Integer.toString(prompt.maxAnswerTokens()))
                .putHeader(EndpointHeaders.RESUME_OFFSET, Integer.toString(call.resumeOffset()))
                .putHeader(EndpointHeaders.PREFIX_HASHES, hashes(prompt.prefixHashes().stream()));
        call.reservationId().ifPresent(id -> request.putHeader(EndpointHeaders.RESERVATION_ID, id));
        if (!call.imports().isEmpty()) {
            request.putHeader(EndpointHeaders.IMPORT, HttpModelEngine.imports(call.imports()));
        }
    }

    private static String hashes(LongStream hashes) {
        return hashes.mapToObj(Long::toHexString).collect(Collectors.joining(","));
    }
}
