package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.json.Mappers;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks status, reports and metrics of running daemons. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class OperatorApiTest {
    private static final Pattern GOSSIP_BYTES =
            Pattern.compile("control_bytes_sent_total\\{step=\"peer_call\",} [1-9]");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static InProcessDeployment sDeployment;
    private static WebClient sClient;

    @BeforeAll
    static void start(@TempDir Path folder) throws IOException {
        sDeployment = InProcessDeployment.start(folder, 1, 2);
        sClient = WebClient.create(sDeployment.vertx());
        await(0, "/ready", r -> r.statusCode() == 200);
        await(1, "/ready", r -> r.statusCode() == 200);
        complete(0, 200);
        complete(1, 200);
    }

    @AfterAll
    static void stop() throws IOException {
        sDeployment.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer wrong", "Basic test-operator"})
    @Order(1)
    void refusesOtherCredentials(String authorization) {
        for (String path : new String[] {"status", "report"}) {
            HttpResponse<Buffer> response =
                    sClient.get(entry(0).port(), entry(0).host(), "/v1/operator/" + path)
                            .putHeader("Authorization", authorization)
                            .send()
                            .await()
                            .atMost(TIMEOUT);

            assertThat(response.statusCode()).isEqualTo(401);
        }
    }

    @Test
    @Order(1)
    void showsStatus() throws IOException {
        JsonNode status =
                json(
                        await(
                                0,
                                "/v1/operator/status",
                                r -> r.bodyAsString().contains("\"state\":\"live\"")));

        assertThat(status.path("instance").asText()).isEqualTo("entry-0");
        assertThat(status.path("ready").asBoolean()).isTrue();
        assertThat(status.path("config").path("version").asLong()).isEqualTo(1);
        assertThat(status.path("peers").path(0).path("instance").asText()).isEqualTo("entry-1");
        assertThat(status.path("endpoints")).hasSize(2);
        assertThat(status.path("audit").findValuesAsText("event"))
                .contains("BG1001", "BG1002", "BG2001");
    }

    @Test
    @Order(1)
    void sumsReportOverDaemons() throws IOException {
        JsonNode report = json(get(0, "/v1/operator/report?minutes=5"));

        assertThat(report.path("daemons")).hasSize(2);
        assertThat(report.path("unanswered")).isEmpty();
        JsonNode counts = report.path("classes").path(0).path("counts");
        assertThat(report.path("classes").path(0).path("workClass").asText()).isEqualTo("short");
        assertThat(counts.path("requests").asLong()).isEqualTo(2);
        assertThat(counts.path("done").asLong()).isEqualTo(2);
        assertThat(counts.path("worthInTime").asDouble()).isEqualTo(5);
        assertThat(counts.path("losses").asLong()).isZero();
        assertThat(counts.path("repeats").asLong()).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "241", "x"})
    @Order(1)
    void refusesPeriodsOutOfRange(String minutes) {
        assertThat(get(0, "/v1/operator/report?minutes=" + minutes).statusCode()).isEqualTo(400);
    }

    @Test
    @Order(1)
    void publishesMetrics() {
        String page =
                await(0, "/metrics", r -> GOSSIP_BYTES.matcher(r.bodyAsString()).find())
                        .bodyAsString();

        assertThat(page)
                .contains("bilberrygrade_time_to_first_token{class=\"short\",band=\"up-to-4k\"")
                .contains("bilberrygrade_outcomes_total{class=\"short\",outcome=\"done\",} 1.0")
                .contains("bilberrygrade_config_version 1.0");
    }

    @Test
    @Order(2)
    void listsDaemonsThatDoNotAnswer() throws IOException {
        sDeployment
                .vertx()
                .getDelegate()
                .undeploy(sDeployment.daemon(1).deploymentID())
                .toCompletionStage()
                .toCompletableFuture()
                .join();

        JsonNode report = json(get(0, "/v1/operator/report?minutes=5"));

        assertThat(report.path("unanswered").path(0).asText()).isEqualTo("entry-1");
        assertThat(report.path("daemons")).hasSize(1);
        assertThat(report.path("classes").path(0).path("counts").path("requests").asLong())
                .isEqualTo(1);
    }

    private static Address entry(int index) {
        return sDeployment.entry(index);
    }

    private static void complete(int index, int status) {
        HttpResponse<Buffer> response =
                sClient.post(entry(index).port(), entry(index).host(), "/v1/completions")
                        .putHeader("Authorization", "Bearer " + InProcessDeployment.CREDENTIAL)
                        .putHeader("X-Work-Class", "short")
                        .putHeader("X-Timeout-Ms", "10000")
                        .putHeader("X-Worth", "2.5")
                        .sendBuffer(Buffer.buffer("{\"prompt\":\"good day\",\"max_tokens\":3}"))
                        .await()
                        .atMost(TIMEOUT);
        assertThat(response.statusCode()).isEqualTo(status);
    }

    private static HttpResponse<Buffer> get(int index, String path) {
        return sClient.get(entry(index).port(), entry(index).host(), path)
                .putHeader("Authorization", "Bearer " + InProcessDeployment.OPERATOR_CREDENTIAL)
                .send()
                .await()
                .atMost(TIMEOUT);
    }

    private static HttpResponse<Buffer> await(
            int index, String path, Predicate<HttpResponse<Buffer>> condition) {
        return sClient.get(entry(index).port(), entry(index).host(), path)
                .putHeader("Authorization", "Bearer " + InProcessDeployment.OPERATOR_CREDENTIAL)
                .send()
                .repeat()
                .withDelay(Duration.ofMillis(20))
                .whilst(condition.negate())
                .collect()
                .last()
                .await()
                .atMost(TIMEOUT);
    }

    private static JsonNode json(HttpResponse<Buffer> response) throws IOException {
        assertThat(response.statusCode()).isEqualTo(200);
        return Mappers.JSON.readTree(response.bodyAsString());
    }
}
