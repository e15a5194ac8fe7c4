package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PlacementKind;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.load.CallerClient;
import io.bilberrygrade.standins.load.CallerOutcome;
import io.bilberrygrade.standins.load.CallerRequest;
import io.bilberrygrade.standins.load.CallerResult;
import io.bilberrygrade.standins.load.PromptText;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that gangs of engines serve the longest prompts and always release their reservations. */
final class GangTest {
    private static final int PROMPT_TOKENS = 900_000;
    private static final int ANSWER_TOKENS = 10;
    private static final long MEMORY_TOKENS = 400_000;
    private static final long PREFILL_RATE = 600_000;
    private static final long MAX_BODY_BYTES = 8 << 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(4);
    private static final PolicySettings NO_STEWARD =
            new PolicySettings(PlacementKind.PREDICTIVE, ImmutableSet.of(Mechanism.GANG_STEWARD));

    private static final CallerResult NO_RESULT =
            new CallerResult(
                    CallerOutcome.UNKNOWN,
                    "",
                    Optional.empty(),
                    Duration.ZERO,
                    0,
                    false,
                    Optional.empty());

    @TempDir Path mFolder;

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void servesPromptOverTwiceTheMemoryOfOneEngine(boolean steward) throws Exception {
        try (InProcessDeployment d = start(3, steward ? PolicySettings.FULL : NO_STEWARD)) {
            CompletableFuture<CallerResult> answer = send(d, 0, TIMEOUT);
            Await.until(() -> holders(d).size() == 3);
            assertThat(answer.get().outcome()).isEqualTo(CallerOutcome.DONE);
            assertThat(answer.get().isCorrect()).isTrue();
            assertThat(answer.get().tokens()).isEqualTo(ANSWER_TOKENS);
            Await.until(() -> holders(d).isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void servesCompetingGangsOneAfterTheOther(boolean steward) throws Exception {
        try (InProcessDeployment d = start(3, steward ? PolicySettings.FULL : NO_STEWARD)) {
            CompletableFuture<CallerResult> first = send(d, 0, TIMEOUT);
            CompletableFuture<CallerResult> second = send(d, 1, TIMEOUT);
            assertThat(first.get().outcome()).isEqualTo(CallerOutcome.DONE);
            assertThat(second.get().outcome()).isEqualTo(CallerOutcome.DONE);
            Await.until(() -> holders(d).isEmpty());
        }
    }

    @Test
    void retriesWithOtherEnginesWhenOneDies() throws Exception {
        try (InProcessDeployment d = start(4, PolicySettings.FULL)) {
            CompletableFuture<CallerResult> answer = send(d, 0, TIMEOUT);
            Await.until(() -> holders(d).size() == 3);
            killEngine(d, holders(d).get(1));
            assertThat(answer.get().outcome()).isEqualTo(CallerOutcome.DONE);
            assertThat(answer.get().isCorrect()).isTrue();
            Await.until(() -> holders(d).isEmpty());
        }
    }

    @Test
    void failsInTimeWhenTooFewEnginesAreLeft() throws Exception {
        try (InProcessDeployment d = start(3, PolicySettings.FULL)) {
            CompletableFuture<CallerResult> answer = send(d, 0, SHORT_TIMEOUT);
            Await.until(() -> holders(d).size() == 3);
            killEngine(d, holders(d).get(1));
            assertThat(answer.get().outcome()).isEqualTo(CallerOutcome.UNKNOWN);
            assertThat(answer.get().total()).isLessThan(SHORT_TIMEOUT.plusSeconds(2));
            Await.until(() -> holders(d).isEmpty());
        }
    }

    @Test
    void releasesReservationsWhenTheCallerDisconnects() throws Exception {
        try (InProcessDeployment d = start(3, PolicySettings.FULL)) {
            Vertx caller = Vertx.vertx();
            CompletableFuture<CallerResult> answer = send(caller, d, 0, TIMEOUT);
            Await.until(() -> holders(d).size() == 3);
            caller.close().toCompletionStage().toCompletableFuture().get();
            Await.until(() -> holders(d).isEmpty());
            assertThat(answer.getNow(NO_RESULT).outcome()).isNotEqualTo(CallerOutcome.DONE);
        }
    }

    private InProcessDeployment start(int engines, PolicySettings policy) throws Exception {
        InProcessDeployment d =
                InProcessDeployment.start(
                        mFolder, engines, 2, policy, GangTest::engineSettings, MAX_BODY_BYTES);
        for (int i = 0; i < 2; i++) {
            int port = d.entry(i).port();
            Await.until(() -> LoopbackHttp.send("GET", port, "/ready", "").statusCode() == 200);
        }
        return d;
    }

    private static EngineSettings engineSettings() {
        EngineSettings defaults = EngineSettings.defaults(InProcessDeployment.MODEL);
        return new EngineSettings(
                Address.free(),
                MEMORY_TOKENS,
                PREFILL_RATE,
                defaults.decodeInterval(),
                defaults.chunkTokens(),
                defaults.slots(),
                defaults.cacheTokens(),
                defaults.queueBound(),
                defaults.models(),
                defaults.loadLag(),
                defaults.loadTime(),
                defaults.checkFencing(),
                Optional.empty());
    }

    private static CompletableFuture<CallerResult> send(
            InProcessDeployment d, int entry, Duration timeout) {
        return send(d.vertx().getDelegate(), d, entry, timeout);
    }

    private static CompletableFuture<CallerResult> send(
            Vertx vertx, InProcessDeployment d, int entry, Duration timeout) {
        CallerClient caller = new CallerClient(vertx, InProcessDeployment.CREDENTIAL);
        CallerRequest request =
                new CallerRequest.Completion(
                        "short",
                        timeout,
                        InProcessDeployment.MODEL,
                        PromptText.of(entry, PROMPT_TOKENS),
                        ANSWER_TOKENS,
                        1);
        return caller.send(d.entry(entry), request).subscribeAsCompletionStage();
    }

    private static void killEngine(InProcessDeployment d, int engine) throws Exception {
        LoopbackHttp.send("POST", d.engine(engine).controlPort(), "/faults", "{\"dieNow\":true}");
    }

    /** Returns the engines that hold a reservation; a dead engine counts as holding none. */
    private static List<Integer> holders(InProcessDeployment d) {
        return IntStream.range(0, d.engines()).filter(i -> hasReservation(d, i)).boxed().toList();
    }

    private static boolean hasReservation(InProcessDeployment d, int engine) {
        try {
            String state =
                    LoopbackHttp.send("GET", d.engine(engine).port(), "/v1/state", "").body();
            JsonNode reservations = Mappers.JSON.readTree(state).path("reservations");
            return !reservations.isEmpty();
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
