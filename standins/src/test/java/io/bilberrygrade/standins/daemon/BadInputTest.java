package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.serving.json.Mappers;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that bad input is rejected with the documented error and reaches no endpoint. */
final class BadInputTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String VALID_BODY = "{\"prompt\":\"good day\",\"max_tokens\":3}";

    private static InProcessDeployment sDeployment;
    private static WebClient sClient;

    @BeforeAll
    static void start(@TempDir Path folder) throws IOException {
        sDeployment = InProcessDeployment.start(folder, 1, 1);
        sClient = WebClient.create(sDeployment.vertx());
        awaitReady();
    }

    @AfterAll
    static void stop() throws IOException {
        sDeployment.close();
    }

    private static void awaitReady() {
        sClient.get(port(), "127.0.0.1", "/ready")
                .send()
                .map(HttpResponse::statusCode)
                .repeat()
                .withDelay(Duration.ofMillis(20))
                .whilst(status -> status != 200)
                .collect()
                .last()
                .await()
                .atMost(TIMEOUT);
    }

    private static int port() {
        return sDeployment.entry(0).port();
    }

    enum BadInput {
        UNKNOWN_CLASS(
                400, "unknown-class", VALID_BODY, ImmutableMap.of("X-Work-Class", "no-such-class")),
        DEADLINE_MISSING(400, "deadline-missing", VALID_BODY, ImmutableMap.of("X-Timeout-Ms", "")),
        DEADLINE_PAST(400, "deadline-past", VALID_BODY, ImmutableMap.of("X-Timeout-Ms", "-1")),
        MALFORMED_DEADLINE(400, "malformed", VALID_BODY, ImmutableMap.of("X-Timeout-Ms", "soon")),
        NOT_JSON(400, "malformed", "{\"prompt\":\"good", ImmutableMap.of()),
        NO_OBJECT(400, "malformed", "[1]", ImmutableMap.of()),
        NO_PROMPT(400, "malformed", "{\"max_tokens\":3}", ImmutableMap.of()),
        PROMPT_NOT_TEXT(400, "malformed", "{\"prompt\":[1,2]}", ImmutableMap.of()),
        BAD_LENGTH(400, "malformed", "{\"prompt\":\"a\",\"max_tokens\":0}", ImmutableMap.of()),
        WRONG_TYPE(400, "malformed", "{\"prompt\":\"a\",\"max_tokens\":\"b\"}", ImmutableMap.of()),
        UNKNOWN_MODEL(
                400, "unknown-model", "{\"prompt\":\"a\",\"model\":\"x\"}", ImmutableMap.of()),
        TOO_LARGE(
                413,
                "too-large",
                "{\"prompt\":\"" + "a".repeat((int) InProcessDeployment.MAX_BODY_BYTES) + "\"}",
                ImmutableMap.of()),
        WRONG_CREDENTIAL(
                401,
                "bad-credentials",
                VALID_BODY,
                ImmutableMap.of("Authorization", "Bearer wrong")),
        NO_CREDENTIAL(401, "bad-credentials", VALID_BODY, ImmutableMap.of("Authorization", ""));

        final int mStatus;
        final String mReason;
        final String mBody;
        final ImmutableMap<String, String> mHeaders;

        BadInput(int status, String reason, String body, ImmutableMap<String, String> headers) {
            mStatus = status;
            mReason = reason;
            mBody = body;
            mHeaders = headers;
        }
    }

    @ParameterizedTest
    @EnumSource
    void rejects(BadInput input) throws IOException {
        HttpResponse<Buffer> response = send(input.mBody, input.mHeaders);

        assertThat(response.statusCode()).isEqualTo(input.mStatus);
        JsonNode error = Mappers.JSON.readTree(response.bodyAsString()).path("error");
        assertThat(error.path("reason").asText()).isEqualTo(input.mReason);
        assertThat(error.path("outcome").asText()).isEqualTo("not-run");
        assertThat(error.path("step").asText()).isNotEmpty();
        assertThat(sessions()).isEmpty();
    }

    @Test
    void answersValidInput() throws IOException {
        HttpResponse<Buffer> response = send(VALID_BODY, ImmutableMap.of());

        assertThat(response.statusCode()).isEqualTo(200);
        JsonNode answer = Mappers.JSON.readTree(response.bodyAsString());
        assertThat(answer.path("choices").path(0).path("text").asText()).hasSize(12);
    }

    private static JsonNode sessions() throws IOException {
        String state =
                sClient.get(sDeployment.engine(0).port(), "127.0.0.1", "/v1/state")
                        .send()
                        .await()
                        .atMost(TIMEOUT)
                        .bodyAsString();
        return Mappers.JSON.readTree(state).path("sessions");
    }

    private static HttpResponse<Buffer> send(String body, ImmutableMap<String, String> headers) {
        HttpRequest<Buffer> request =
                sClient.post(port(), "127.0.0.1", "/v1/completions")
                        .putHeader("Authorization", "Bearer " + InProcessDeployment.CREDENTIAL)
                        .putHeader("X-Work-Class", "short")
                        .putHeader("X-Timeout-Ms", "10000");
        headers.forEach(
                (name, value) -> {
                    if (value.isEmpty()) {
                        request.headers().remove(name);
                    } else {
                        request.putHeader(name, value);
                    }
                });
        return request.sendBuffer(Buffer.buffer(body)).await().atMost(TIMEOUT);
    }
}
