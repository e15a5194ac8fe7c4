package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.service.RunCount;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks over HTTP that a call with an idempotency key runs once, whichever daemons receive it. */
final class AtMostOnceTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String HOST = "127.0.0.1";

    private static InProcessDeployment sDeployment;
    private static WebClient sClient;

    @BeforeAll
    static void start(@TempDir Path folder) throws IOException {
        sDeployment = InProcessDeployment.start(folder, 1, 2);
        sClient = WebClient.create(sDeployment.vertx());
        awaitStatus(0, 200);
        awaitStatus(1, 200);
    }

    @AfterAll
    static void stop() throws IOException {
        sDeployment.close();
    }

    private static void awaitStatus(int daemon, int status) {
        sClient.get(sDeployment.entry(daemon).port(), HOST, "/ready")
                .send()
                .map(HttpResponse::statusCode)
                .repeat()
                .withDelay(Duration.ofMillis(20))
                .whilst(s -> s != status)
                .collect()
                .last()
                .await()
                .atMost(TIMEOUT);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "0,1", "1,0", "1,1"})
    void runsOnceThroughAnyDaemon(int first, int second) throws IOException {
        String key = issueKey(0);

        HttpResponse<Buffer> answer = awaitAnswer(first, key);
        HttpResponse<Buffer> repeated = awaitAnswer(second, key);

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(repeated.bodyAsString()).isEqualTo(answer.bodyAsString());
        assertThat(runs(key)).isEqualTo(1);
    }

    @Test
    void runsOnceWhenSubmittedAtTheSameTime() throws IOException {
        String key = issueKey(1);
        awaitAnswer(0, issueKey(1));

        List<String> answers =
                Uni.join()
                        .all(
                                request(0, Optional.of(key)).sendBuffer(Buffer.buffer("{}")),
                                request(1, Optional.of(key)).sendBuffer(Buffer.buffer("{}")))
                        .andFailFast()
                        .await()
                        .atMost(TIMEOUT)
                        .stream()
                        .map(HttpResponse::bodyAsString)
                        .toList();

        assertThat(answers.get(0)).isEqualTo(answers.get(1));
        assertThat(runs(key)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"made-by-the-caller", "bg1.ZW50cnktMA.1.1.0.00", "bg1.!.1.1.0.00"})
    void refusesKeyThatNoDaemonIssued(String key) throws IOException {
        HttpResponse<Buffer> response = send(0, Optional.of(key), "{}");

        assertError(response, 400, "not-run", "key-invalid");
        assertThat(runs(key)).isZero();
    }

    @Test
    void refusesCallWithoutKey() throws IOException {
        assertError(send(0, Optional.empty(), "{}"), 400, "not-run", "key-missing");
    }

    @Test
    void doesNotRunAnotherCallUnderTheSameKey() throws IOException {
        String key = issueKey(0);
        awaitAnswer(0, key);

        assertError(send(0, Optional.of(key), "{\"a\":1}"), 422, "unknown", "key-reused");
        assertThat(runs(key)).isEqualTo(1);
    }

    private static void assertError(
            HttpResponse<Buffer> response, int status, String outcome, String reason)
            throws IOException {
        JsonNode error = Mappers.JSON.readTree(response.bodyAsString()).path("error");
        assertThat(error.path("outcome").asText()).isEqualTo(outcome);
        assertThat(error.path("reason").asText()).isEqualTo(reason);
        assertThat(response.statusCode()).isEqualTo(status);
    }

    private static String issueKey(int daemon) {
        return sClient.post(sDeployment.entry(daemon).port(), HOST, "/v1/keys")
                .putHeader("Authorization", "Bearer " + InProcessDeployment.CREDENTIAL)
                .send()
                .await()
                .atMost(TIMEOUT)
                .bodyAsJsonObject()
                .getString("key");
    }

    /** Repeats the call until the daemons have read the list of instances. */
    private static HttpResponse<Buffer> awaitAnswer(int daemon, String key) {
        return request(daemon, Optional.of(key))
                .sendBuffer(Buffer.buffer("{}"))
                .repeat()
                .withDelay(Duration.ofMillis(20))
                .whilst(r -> r.bodyAsString().contains("key-home-unreachable"))
                .collect()
                .last()
                .await()
                .atMost(TIMEOUT);
    }

    private static HttpResponse<Buffer> send(int daemon, Optional<String> key, String body) {
        return request(daemon, key).sendBuffer(Buffer.buffer(body)).await().atMost(TIMEOUT);
    }

    private static HttpRequest<Buffer> request(int daemon, Optional<String> key) {
        HttpRequest<Buffer> request =
                sClient.post(sDeployment.entry(daemon).port(), HOST, "/v1/services/account/top-up")
                        .putHeader("Authorization", "Bearer " + InProcessDeployment.CREDENTIAL)
                        .putHeader("X-Work-Class", "short")
                        .putHeader("X-Timeout-Ms", "10000");
        key.ifPresent(k -> request.putHeader("Idempotency-Key", k));
        return request;
    }

    private static int runs(String key) throws IOException {
        int control = sDeployment.service().controlPort();
        String text =
                sClient.get(control, HOST, "/runs").send().await().atMost(TIMEOUT).bodyAsString();
        RunCount[] runs = Mappers.JSON.readValue(text, RunCount[].class);
        return List.of(runs).stream()
                .filter(r -> r.key().equals(key))
                .mapToInt(RunCount::runs)
                .sum();
    }
}
