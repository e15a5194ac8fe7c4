package io.bilberrygrade.standins.configservice;

import static io.bilberrygrade.standins.LoopbackHttp.CALL_TIMEOUT;
import static io.bilberrygrade.standins.LoopbackHttp.send;
import static io.bilberrygrade.standins.LoopbackHttp.sendAsync;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrygrade.standins.control.Address;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInConfigServiceTest {
    @TempDir private Path mDirectory;
    private Vertx mVertx;
    private StandInConfigService mService;

    @BeforeEach
    void start() throws IOException {
        Files.writeString(mDirectory.resolve("classes.yaml"), "old");
        mVertx = Vertx.vertx();
        mService =
                StandInConfigService.start(mVertx, Address.free(), mDirectory)
                        .await()
                        .atMost(CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        mVertx.close().await().atMost(CALL_TIMEOUT);
    }

    @Test
    void watchReturnsOnPublication() throws Exception {
        CompletableFuture<HttpResponse<String>> watch =
                sendAsync("GET", mService.port(), "/v1/manifest?after=1&waitMs=60000", "");
        publish("new");
        String manifest = watch.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS).body();
        assertThat(manifest).startsWith("{\"version\":2");
        HttpResponse<String> part = send("GET", mService.port(), "/v1/parts/classes", "");
        assertThat(part.body()).isEqualTo("new");
        assertThat(part.headers().firstValue("X-Version")).contains("2");
        String calls = send("GET", mService.controlPort(), "/calls", "").body();
        assertThat(calls).isEqualTo("{\"manifests\":1,\"parts\":1}");
    }

    @ParameterizedTest
    @CsvSource({"0, new, 2", "1, old, 1"})
    void staleServiceServesOldVersion(long stale, String part, long version) throws Exception {
        publish("new");
        faults("{\"staleVersion\":" + stale + "}");
        assertThat(send("GET", mService.port(), "/v1/manifest?after=0&waitMs=9", "").body())
                .startsWith("{\"version\":" + version);
        assertThat(send("GET", mService.port(), "/v1/parts/classes?version=9", "").body())
                .isEqualTo(part);
        assertThat(send("GET", mService.port(), "/v1/parts/classes?version=1", "").body())
                .isEqualTo("old");
    }

    @Test
    void frozenServiceDelaysWatches() throws Exception {
        CompletableFuture<HttpResponse<String>> watch =
                sendAsync("GET", mService.port(), "/v1/manifest?after=1&waitMs=60000", "");
        awaitManifestCall();
        faults("{\"freezeMillis\":600000}");
        publish("new");
        faults("{\"slowMillis\":0}");
        assertThat(watch).isNotDone();
        faults("{\"freezeMillis\":0}");
        assertThat(watch.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS).body())
                .startsWith("{\"version\":2");
    }

    private void awaitManifestCall() throws Exception {
        long end = System.nanoTime() + CALL_TIMEOUT.toNanos();
        String calls = "";
        while (!calls.contains("\"manifests\":1") && System.nanoTime() < end) {
            calls = send("GET", mService.controlPort(), "/calls", "").body();
        }
        assertThat(calls).contains("\"manifests\":1");
    }

    @Test
    void downServiceResetsConnections() throws Exception {
        faults("{\"down\":true}");
        assertThatThrownBy(() -> send("GET", mService.port(), "/v1/manifest", ""))
                .isInstanceOf(IOException.class);
        faults("{\"down\":false}");
        assertThat(send("GET", mService.port(), "/v1/parts/none", "").statusCode()).isEqualTo(404);
    }

    private void publish(String text) throws Exception {
        send("PUT", mService.controlPort(), "/parts/classes", text);
    }

    private void faults(String json) throws Exception {
        send("POST", mService.controlPort(), "/faults", json);
    }
}
