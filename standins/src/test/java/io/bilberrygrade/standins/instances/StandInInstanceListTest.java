package io.bilberrygrade.standins.instances;

import static io.bilberrygrade.standins.LoopbackHttp.CALL_TIMEOUT;
import static io.bilberrygrade.standins.LoopbackHttp.send;
import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.standins.control.Address;
import io.vertx.mutiny.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInInstanceListTest {
    @TempDir private Path mDirectory;

    @ParameterizedTest
    @CsvSource({"0, 2", "600000, 1"})
    void changesBecomeVisibleAfterLag(long lagMillis, long version) throws Exception {
        Path file = mDirectory.resolve("instances.yaml");
        Files.writeString(file, "version: 1\ninstances: []\n");
        Vertx vertx = Vertx.vertx();
        try {
            StandInInstanceList list =
                    StandInInstanceList.start(
                                    vertx, Address.free(), file, Duration.ofMillis(lagMillis))
                            .await()
                            .atMost(CALL_TIMEOUT);
            String body = "{\"version\":0,\"instances\":[]}";
            assertThat(send("PUT", list.controlPort(), "/instances", body).body())
                    .contains("\"version\":2");
            awaitVersion(list.port(), version);
        } finally {
            vertx.close().await().atMost(CALL_TIMEOUT);
        }
    }

    private static void awaitVersion(int port, long version) throws Exception {
        String expected = "\"version\":" + version;
        long end = System.nanoTime() + CALL_TIMEOUT.toNanos();
        String body = send("GET", port, "/v1/instances", "").body();
        while (!body.contains(expected) && System.nanoTime() < end) {
            body = send("GET", port, "/v1/instances", "").body();
        }
        assertThat(body).contains(expected);
    }
}
