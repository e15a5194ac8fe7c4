package io.bilberrygrade.standins.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import io.bilberrygrade.standins.StreamedAnswer;
import io.bilberrygrade.standins.load.CallerClient;
import io.bilberrygrade.standins.load.CallerOutcome;
import io.bilberrygrade.standins.load.CallerRequest;
import io.bilberrygrade.standins.load.CallerResult;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks requests in flight when their entry daemon is terminated, killed or paused. */
final class ProcessFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int REQUESTS = 40;
    private static final int TOKENS = 80;

    @TempDir Path mFolder;

    @Test
    void finishesRunningRequestsAndRefusesNewOnesOnTermination() throws Exception {
        Vertx vertx = Vertx.vertx();
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 2, 1)) {
            EntryProcess entry = d.start(0).awaitReady();
            List<CompletableFuture<CallerResult>> running = sendAll(vertx, entry);
            Await.until(() -> d.sessions(0) + d.sessions(1) == REQUESTS);

            entry.signal("TERM");
            Await.until(() -> entry.hasLogged("BG1003"));
            HttpResponse<String> refused =
                    LoopbackHttp.send(
                            "POST",
                            entry.callerPort(),
                            "/v1/completions",
                            "{\"prompt\":\"good day\",\"max_tokens\":3}",
                            "X-Timeout-Ms",
                            "5000");

            assertThat(entry.isReady()).isFalse();
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.body()).contains("\"not-run\"", "\"draining\"");
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            assertThat(refused.headers().firstValue("Connection")).hasValue("close");
            for (CompletableFuture<CallerResult> result : running) {
                assertThat(result.get().outcome()).isEqualTo(CallerOutcome.DONE);
                assertThat(result.get().isCorrect()).isTrue();
            }
            assertThat(entry.awaitExit(TIMEOUT)).isTrue();
            assertThat(entry.hasLogged("stopped abandonedRequests=0")).isTrue();
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static List<CompletableFuture<CallerResult>> sendAll(Vertx vertx, EntryProcess entry) {
        CallerClient client = new CallerClient(vertx, "test-secret");
        Address address = new Address("127.0.0.1", entry.callerPort());
        List<CompletableFuture<CallerResult>> results = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            CallerRequest request =
                    new CallerRequest.Completion(
                            "short", TIMEOUT, ProcessDeployment.MODEL, "day " + i, TOKENS, 1);
            Uni<CallerResult> result = client.send(address, request);
            results.add(result.subscribeAsCompletionStage());
        }
        return results;
    }

    @Test
    void releasesEngineMemoryOfKilledDaemons() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0).awaitReady();
            try (StreamedAnswer answer = d.sendCompletion(0, 2_000, TIMEOUT)) {
                answer.readTokens(5);
                entry.kill();
                Await.until(() -> d.sessions(0) == 0);
            }
        }
    }

    @Test
    void failsExpiredRequestsAfterPauses() throws Exception {
        try (ProcessDeployment d = new ProcessDeployment(mFolder, 1, 1)) {
            EntryProcess entry = d.start(0, "ADMISSION").awaitReady();
            Duration timeout = Duration.ofSeconds(2);
            try (StreamedAnswer answer = d.sendCompletion(0, 2_000, timeout)) {
                answer.readTokens(5);
                entry.signal("STOP");
                Await.until(() -> d.sessions(0) == 0);
                entry.signal("CONT");
                answer.readAll();

                assertThat(answer.isComplete()).isFalse();
                assertThat(answer.isCorrect()).isTrue();
                assertThat(answer.reason()).isEqualTo("deadline-past");
            }
            try (StreamedAnswer next = d.sendCompletion(0, 20, TIMEOUT)) {
                next.readAll();
                assertThat(next.isComplete()).as(next.reason()).isTrue();
            }
        }
    }
}
