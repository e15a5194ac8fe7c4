package io.bilberrygrade.standins.weights;

import static io.bilberrygrade.standins.LoopbackHttp.CALL_TIMEOUT;
import static io.bilberrygrade.standins.LoopbackHttp.send;
import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.standins.control.Address;
import io.vertx.mutiny.core.Vertx;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInWeightStoreTest {
    @ParameterizedTest
    @CsvSource({"0, 429, '{\"served\":0,\"refused\":1}'", "1, 200, '{\"served\":1,\"refused\":0}'"})
    void refusesReadsOverRate(int rate, int status, String calls) throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StandInWeightStore store =
                    StandInWeightStore.start(vertx, Address.free(), rate)
                            .await()
                            .atMost(CALL_TIMEOUT);
            assertThat(send("GET", store.port(), "/v1/weights/m/1", "").statusCode())
                    .isEqualTo(status);
            assertThat(send("GET", store.controlPort(), "/calls", "").body()).isEqualTo(calls);
        } finally {
            vertx.close().await().atMost(CALL_TIMEOUT);
        }
    }
}
