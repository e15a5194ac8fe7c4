package io.bilberrygrade.standins.engine;

import static io.bilberrygrade.standins.LoopbackHttp.CALL_TIMEOUT;
import static io.bilberrygrade.standins.LoopbackHttp.send;
import static io.bilberrygrade.standins.LoopbackHttp.sendAsync;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.serving.wire.EngineLine;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderKind;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.bilberrygrade.serving.wire.SegmentDocument;
import io.bilberrygrade.standins.control.Json;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInEngineTest {
    private static final String PROMPT = "h\u00e9llo \\\"there\\\"";
    private static final String TEXT = "h\u00e9llo \"there\"";

    private Vertx mVertx;
    private StandInEngine mEngine;

    @BeforeEach
    void start() {
        mVertx = Vertx.vertx();
        EngineSettings settings = EngineSettings.defaults("m");
        mEngine = StandInEngine.start(mVertx, settings).await().atMost(CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        mVertx.close().await().atMost(CALL_TIMEOUT);
    }

    @ParameterizedTest
    @CsvSource({"0", "2"})
    void streamsTokensOfPrompt(int offset) throws Exception {
        HttpResponse<String> answer =
                complete(5, EndpointHeaders.RESUME_OFFSET, Integer.toString(offset));
        List<EngineLine> lines = answer.body().lines().map(l -> read(l, EngineLine.class)).toList();
        StringBuilder text = new StringBuilder();
        for (EngineLine line : lines.subList(0, lines.size() - 1)) {
            text.append(((EngineLine.Tokens) line).text());
        }
        long seed = TokenText.seed(TEXT);
        assertThat(text.toString()).isEqualTo(TokenText.tokens(seed, offset, 5 - offset));
        assertThat(lines.getLast()).isEqualTo(new EngineLine.Finished(5));
        String load = answer.headers().firstValue(EndpointHeaders.LOAD).orElseThrow();
        assertThat(read(load, LoadDocument.class).freeTokens()).isPositive();
    }

    @ParameterizedTest
    @CsvSource({
        "X-Model, other, model",
        "X-Prompt-Tokens, 400000, memory",
        "X-Deadline-Ms, 0, deadline",
        "X-Reservation-Id, gone, memory",
        "X-Import, 127.0.0.1:1/k, import"
    })
    void refusesRequestsThatCannotRun(String header, String value, String reason) throws Exception {
        HttpResponse<String> answer = complete(5, header, value);
        assertThat(answer.statusCode()).isEqualTo(409);
        assertThat(answer.body()).contains("\"" + reason + "\"");
    }

    @Test
    void refusesNewRequestsWhenLeaving() throws Exception {
        faults("{\"leaving\":true}");
        assertThat(complete(5).statusCode()).isEqualTo(409);
        faults("{\"leaving\":false}");
        assertThat(complete(5).statusCode()).isEqualTo(200);
    }

    @Test
    void segmentIsExportedUntilRelease() throws Exception {
        String request = Json.write(new ReservationRequest("g", 1, 1, 5_000, 60_000));
        HttpResponse<String> created = send("POST", mEngine.port(), "/v1/reservations", request);
        assertThat(created.statusCode()).isEqualTo(201);
        String id = read(created.body(), ReservationDocument.class).reservationId();
        SegmentDocument segment = prefill(id, 400);
        String kv = "/v1/kv/" + segment.handle();
        assertThat(send("GET", mEngine.port(), kv, "").statusCode()).isEqualTo(200);
        String peer = "127.0.0.1:" + mEngine.port() + "/" + segment.handle();
        assertThat(complete(2, EndpointHeaders.IMPORT, peer).statusCode()).isEqualTo(200);
        assertThat(state().reservations()).hasSize(1);
        send("DELETE", mEngine.port(), "/v1/reservations/" + id, "");
        assertThat(state().reservations()).isEmpty();
        assertThat(send("GET", mEngine.port(), kv, "").statusCode()).isEqualTo(404);
        assertThat(complete(2, EndpointHeaders.IMPORT, peer).statusCode()).isEqualTo(409);
    }

    @ParameterizedTest
    @CsvSource({"false, 409, false", "true, 200, true"})
    void checksTheFencingToken(boolean ignore, int status, boolean accepted) throws Exception {
        faults("{\"ignoreFencing\":" + ignore + "}");
        assertThat(order(OrderKind.LOAD_MODEL, 7).statusCode()).isEqualTo(200);
        HttpResponse<String> late = order(OrderKind.UNLOAD_MODEL, 6);
        assertThat(late.statusCode()).isEqualTo(status);
        assertThat(read(late.body(), OrderResultDocument.class).accepted()).isEqualTo(accepted);
        assertThat(state().models().stream().anyMatch(m -> m.model().equals("new")))
                .isEqualTo(!accepted);
    }

    @Test
    void cutsStreams() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = completeAsync(10_000);
        awaitSessions(1);
        faults("{\"cutStreams\":true}");
        assertThatThrownBy(() -> answer.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .hasCauseInstanceOf(IOException.class);
        awaitSessions(0);
    }

    @Test
    void cancelEndsTheStream() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = completeAsync(10_000);
        awaitSessions(1);
        assertThat(send("DELETE", mEngine.port(), "/v1/completions/q/3", "").statusCode())
                .isEqualTo(204);
        assertThat(answer.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS).body())
                .contains("cancelled");
    }

    @Test
    void frozenEngineMakesNoProgress() throws Exception {
        faults("{\"freezeMillis\":600000}");
        CompletableFuture<HttpResponse<String>> answer = completeAsync(1);
        assertThat(send("GET", mEngine.controlPort(), "/faults", "").body()).contains("600000");
        assertThat(answer).isNotDone();
        faults("{\"dieNow\":true,\"freezeMillis\":0}");
        assertThatThrownBy(() -> answer.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .hasCauseInstanceOf(IOException.class);
    }

    private SegmentDocument prefill(String reservationId, int to) throws Exception {
        HttpResponse<String> answer =
                send(
                        "POST",
                        mEngine.port(),
                        "/v1/segments",
                        "x".repeat(100_000),
                        "Content-Type",
                        "application/x-www-form-urlencoded",
                        EndpointHeaders.RESERVATION_ID,
                        reservationId,
                        EndpointHeaders.TO_TOKEN,
                        Integer.toString(to));
        return read(answer.body(), SegmentDocument.class);
    }

    private HttpResponse<String> order(OrderKind kind, long token) throws Exception {
        OrderDocument order = new OrderDocument(kind, "new", null, 1, null, token);
        return send("POST", mEngine.port(), "/v1/orders", Json.write(order));
    }

    private EngineStateDocument state() throws Exception {
        String body = send("GET", mEngine.port(), "/v1/state", "").body();
        return read(body, EngineStateDocument.class);
    }

    private void awaitSessions(int count) throws Exception {
        long end = System.nanoTime() + CALL_TIMEOUT.toNanos();
        while (state().sessions().size() != count && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(state().sessions()).hasSize(count);
    }

    private void faults(String json) throws Exception {
        HttpResponse<String> answer = send("POST", mEngine.controlPort(), "/faults", json);
        assertThat(answer.statusCode()).isEqualTo(200);
    }

    private HttpResponse<String> complete(int tokens, String... headers) throws Exception {
        return send("POST", mEngine.port(), "/v1/completions", body(tokens), headers);
    }

    private CompletableFuture<HttpResponse<String>> completeAsync(int tokens) {
        String[] headers = {EndpointHeaders.REQUEST_ID, "q", EndpointHeaders.ATTEMPT, "3"};
        return sendAsync("POST", mEngine.port(), "/v1/completions", body(tokens), headers);
    }

    private static String body(int tokens) {
        return "{\"extra\":[1],\"model\":\"m\",\"prompt\":\""
                + PROMPT
                + "\",\"max_tokens\":"
                + tokens
                + "}";
    }

    private static <T> T read(String json, Class<T> type) {
        return Json.read(json.getBytes(StandardCharsets.UTF_8), type);
    }
}
