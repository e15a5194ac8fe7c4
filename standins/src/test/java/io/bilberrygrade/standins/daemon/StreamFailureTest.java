package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PlacementKind;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import io.bilberrygrade.standins.StreamedAnswer;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that callers get complete answers or correct errors when engines or streams fail midway.
 */
final class StreamFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int TOKENS = 60;
    private static final PolicySettings NO_RESUME =
            new PolicySettings(PlacementKind.PREDICTIVE, ImmutableSet.of(Mechanism.RESUME));

    /** Admits requests that can't be answered before their deadline. */
    private static final PolicySettings NO_ADMISSION =
            new PolicySettings(PlacementKind.PREDICTIVE, ImmutableSet.of(Mechanism.ADMISSION));

    @TempDir Path mFolder;

    @ParameterizedTest
    @CsvSource({"cutStreams,true", "dieNow,true", "freezeMillis,60000"})
    void resumesOnAnotherEngine(String fault, String value) throws Exception {
        try (InProcessDeployment d = InProcessDeployment.start(mFolder, 2, 1);
                StreamedAnswer answer = open(d, TIMEOUT)) {
            answer.readTokens(10);
            injectFaultIntoBusyEngine(d, "{\"" + fault + "\":" + value + "}");
            answer.readAll();

            assertThat(answer.isComplete()).as(answer.reason()).isTrue();
            assertThat(answer.tokens()).isEqualTo(TOKENS);
            assertThat(answer.isCorrect()).isTrue();
        }
    }

    @Test
    void duplicatesTokensWithoutResumption() throws Exception {
        try (InProcessDeployment d = InProcessDeployment.start(mFolder, 2, 1, NO_RESUME);
                StreamedAnswer answer = open(d, TIMEOUT)) {
            answer.readTokens(10);
            injectFaultIntoBusyEngine(d, "{\"cutStreams\":true}");
            answer.readAll();

            assertThat(answer.isCorrect()).isFalse();
        }
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() throws Exception {
        try (InProcessDeployment d = InProcessDeployment.start(mFolder, 1, 1)) {
            try (StreamedAnswer answer = open(d, TIMEOUT)) {
                answer.readTokens(10);
                assertThat(sessions(d, 0)).isEqualTo(1);
            }
            Await.until(() -> sessions(d, 0) == 0);
        }
    }

    @Test
    void failsAtTheDeadlineAndCancelsTheRequest() throws Exception {
        try (InProcessDeployment d = InProcessDeployment.start(mFolder, 1, 1, NO_ADMISSION);
                StreamedAnswer answer = open(d, Duration.ofMillis(400))) {
            answer.readAll();

            assertThat(answer.isComplete()).isFalse();
            assertThat(answer.reason()).isEqualTo("deadline-past");
            Await.until(() -> sessions(d, 0) == 0);
        }
    }

    @Test
    void returnsUnknownForRequestsOnFrozenEngines() throws Exception {
        try (InProcessDeployment d = InProcessDeployment.start(mFolder, 1, 1)) {
            awaitReady(d);
            LoopbackHttp.send(
                    "POST", d.engine(0).controlPort(), "/faults", "{\"freezeMillis\":60000}");
            String answer =
                    LoopbackHttp.send(
                                    "POST",
                                    d.entry(0).port(),
                                    "/v1/completions",
                                    "{\"prompt\":\"good day\",\"max_tokens\":3}",
                                    "Authorization",
                                    "Bearer " + InProcessDeployment.CREDENTIAL,
                                    "X-Work-Class",
                                    "short",
                                    "X-Timeout-Ms",
                                    "800")
                            .body();

            assertThat(Mappers.JSON.readTree(answer).path("error").path("outcome").asText())
                    .isEqualTo("unknown");
        }
    }

    private static StreamedAnswer open(InProcessDeployment d, Duration timeout) throws Exception {
        awaitReady(d);
        String prompt = "a lantern that does not light";
        return StreamedAnswer.open("127.0.0.1", d.entry(0).port(), prompt, TOKENS, timeout);
    }

    private static void awaitReady(InProcessDeployment d) throws Exception {
        Await.until(
                () ->
                        LoopbackHttp.send("GET", d.entry(0).port(), "/ready", "").statusCode()
                                == 200);
    }

    private static void injectFaultIntoBusyEngine(InProcessDeployment d, String faults)
            throws Exception {
        int busy = sessions(d, 0) > 0 ? 0 : 1;
        LoopbackHttp.send("POST", d.engine(busy).controlPort(), "/faults", faults);
    }

    private static int sessions(InProcessDeployment d, int engine)
            throws IOException, InterruptedException {
        String state = LoopbackHttp.send("GET", d.engine(engine).port(), "/v1/state", "").body();
        return Mappers.JSON.readTree(state).path("sessions").size();
    }
}
