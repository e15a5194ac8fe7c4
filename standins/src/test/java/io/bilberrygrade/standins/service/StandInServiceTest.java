package io.bilberrygrade.standins.service;

import static io.bilberrygrade.standins.LoopbackHttp.CALL_TIMEOUT;
import static io.bilberrygrade.standins.LoopbackHttp.send;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.standins.control.Address;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInServiceTest {
    private Vertx mVertx;
    private StandInService mService;

    @BeforeEach
    void start() {
        mVertx = Vertx.vertx();
        mService = StandInService.start(mVertx, Address.free()).await().atMost(CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        mVertx.close().await().atMost(CALL_TIMEOUT);
    }

    @ParameterizedTest
    @CsvSource({"false, 2", "true, 1"})
    void countsRunsPerKey(boolean dedupe, int runs) throws Exception {
        faults("{\"dedupe\":" + dedupe + "}");
        call();
        call();
        assertThat(runs()).isEqualTo("[{\"key\":\"k\",\"runs\":" + runs + "}]");
    }

    @Test
    void runsCallAndClosesConnectionBeforeAnswer() throws Exception {
        faults("{\"cutBeforeAnswer\":true}");
        assertThatThrownBy(this::call).isInstanceOf(IOException.class);
        assertThat(runs()).contains("\"k\"");
    }

    @ParameterizedTest
    @CsvSource({"'', 200, true", "leaving, 409, false"})
    void refusedCallDoesNotRun(String reason, int status, boolean ran) throws Exception {
        faults("{\"refuseWith\":\"" + reason + "\"}");
        assertThat(call()).isEqualTo(status);
        assertThat(runs().contains("\"k\"")).isEqualTo(ran);
    }

    private int call() throws IOException, InterruptedException {
        return send(
                        "POST",
                        mService.port(),
                        "/call/top-up",
                        "{}",
                        EndpointHeaders.IDEMPOTENCY_KEY,
                        "k")
                .statusCode();
    }

    private String runs() throws Exception {
        return send("GET", mService.controlPort(), "/runs", "").body();
    }

    private void faults(String json) throws Exception {
        send("POST", mService.controlPort(), "/faults", json);
    }
}
