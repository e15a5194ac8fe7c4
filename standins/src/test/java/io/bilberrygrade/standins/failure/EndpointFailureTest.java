package io.bilberrygrade.standins.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import io.bilberrygrade.standins.StreamedAnswer;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks engine orders, orphaned reservations and leaving endpoints when daemons or engines fail.
 */
final class EndpointFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration LEAVING_TIMEOUT = Duration.ofSeconds(3);
    private static final String LEAVING = "endpoint-leaving endpoint=engine-0";
    private static final int MAX_REQUESTS = 40;

    @TempDir Path mFolder;

    @Test
    void gossipsLeavingEndpointsThatTheListDoesNotMark() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 2, 2)) {
            EntryProcess receiver = d.start(0);
            EntryProcess other = d.start(1);
            receiver.awaitReady();
            other.awaitReady();
            injectEngineFaults(d, "{\"leaving\":true}");
            sendUntilRefused(d, receiver);

            assertThat(receiver.hasLogged(LEAVING)).isTrue();
            Await.until(LEAVING_TIMEOUT, () -> other.hasLogged(LEAVING));
        }
    }

    @Test
    void ignoresRefusalsWithoutLeavingGossip() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 2, 1)) {
            EntryProcess receiver = d.start(0, "LEAVING_GOSSIP").awaitReady();
            injectEngineFaults(d, "{\"leaving\":true}");
            sendUntilRefused(d, receiver);

            assertThat(receiver.hasLogged(LEAVING)).isFalse();
        }
    }

    private static void sendUntilRefused(ProcessDeployment d, EntryProcess entry)
            throws IOException, InterruptedException {
        List<StreamedAnswer> running = new ArrayList<>();
        while (running.size() < MAX_REQUESTS && !entry.hasLogged("BG5004")) {
            running.add(d.sendCompletion(0, 100, TIMEOUT));
        }
        running.forEach(StreamedAnswer::close);
        assertThat(entry.hasLogged("BG5004")).isTrue();
    }

    @Test
    void releasesReservationsOfDeadDaemons() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            d.start(0).awaitReady();
            LoopbackHttp.send(
                    "POST",
                    d.engine(0).port(),
                    "/v1/reservations",
                    "{\"requestId\":\"entry-9-7-1\",\"attempt\":1,\"incarnation\":7,"
                            + "\"tokens\":1000,\"deadlineMillis\":500}");
            assertThat(state(d).path("reservations").size()).isEqualTo(1);

            Await.until(() -> state(d).path("reservations").isEmpty());
        }
    }

    @Test
    void issuesOrdersAfterTheIssuerDies() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 2)) {
            EntryProcess first = d.start(0);
            EntryProcess second = d.start(1);
            first.awaitReady();
            second.awaitReady();
            d.publish("models", models(2));
            Await.until(TIMEOUT, () -> modelVersion(d) == 2);
            assertThat(state(d).path("highestFencingToken").asLong()).isEqualTo(2);

            EntryProcess issuer = first.hasLogged("BG4001") ? first : second;
            issuer.kill();
            d.publish("models", models(3));

            Await.until(Duration.ofSeconds(40), () -> modelVersion(d) == 3);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void restoresModelVersionAfterLateOrders(boolean checksFencingToken) throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            d.start(0).awaitReady();
            d.publish("models", models(2));
            Await.until(TIMEOUT, () -> modelVersion(d) == 2);
            injectEngineFaults(d, "{\"ignoreFencing\":" + !checksFencingToken + "}");

            int status =
                    LoopbackHttp.send(
                                    "POST",
                                    d.engine(0).port(),
                                    "/v1/orders",
                                    "{\"kind\":\"LOAD_MODEL\",\"model\":\"test-model\","
                                            + "\"version\":1,\"fencingToken\":1}")
                            .statusCode();

            assertThat(status).isEqualTo(checksFencingToken ? 409 : 200);
            Await.until(TIMEOUT, () -> modelVersion(d) == 2);
        }
    }

    private static String models(int version) {
        return "models: [{id: test-model, version: " + version + ", adapters: []}]";
    }

    private static void injectEngineFaults(ProcessDeployment d, String faults)
            throws IOException, InterruptedException {
        LoopbackHttp.send("POST", d.engine(0).controlPort(), "/faults", faults);
    }

    private static long modelVersion(ProcessDeployment d) throws IOException, InterruptedException {
        return state(d).path("models").path(0).path("version").asLong();
    }

    private static JsonNode state(ProcessDeployment d) throws IOException, InterruptedException {
        return Mappers.JSON.readTree(
                LoopbackHttp.send("GET", d.engine(0).port(), "/v1/state", "").body());
    }
}
