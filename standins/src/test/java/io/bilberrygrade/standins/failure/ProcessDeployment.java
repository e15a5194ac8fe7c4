package io.bilberrygrade.standins.failure;

import com.google.common.hash.Hashing;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.LoopbackHttp;
import io.bilberrygrade.standins.StreamedAnswer;
import io.bilberrygrade.standins.configservice.StandInConfigService;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.engine.StandInEngine;
import io.bilberrygrade.standins.instances.StandInInstanceList;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Entry daemons in separate processes, with stand-ins for all other services in the test's JVM. */
final class ProcessDeployment implements AutoCloseable {
    static final String MODEL = "test-model";

    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final int CLOSED_PORT = 1;

    private final Vertx mVertx = Vertx.vertx();
    private final Path mFolder;
    private final List<StandInEngine> mEngines = new ArrayList<>();
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final StandInConfigService mConfig;
    private final StandInInstanceList mInstances;

    ProcessDeployment(Path folder, int engines, int entries) throws IOException {
        mFolder = folder;
        for (int i = 0; i < engines; i++) {
            mEngines.add(
                    StandInEngine.start(mVertx, EngineSettings.defaults(MODEL))
                            .await()
                            .atMost(START_TIMEOUT));
        }
        for (int i = 0; i < entries; i++) {
            mEntries.add(EntryProcess.create(folder.resolve("entries"), "entry-" + i));
        }
        mConfig =
                StandInConfigService.start(mVertx, Address.free(), configuration())
                        .await()
                        .atMost(START_TIMEOUT);
        mInstances =
                StandInInstanceList.start(mVertx, Address.free(), instances(), Duration.ZERO)
                        .await()
                        .atMost(START_TIMEOUT);
    }

    private Path configuration() throws IOException {
        Path parts = Files.createDirectories(mFolder.resolve("configuration"));
        String digest =
                Hashing.sha256().hashString("test-secret", StandardCharsets.UTF_8).toString();
        Files.writeString(parts.resolve("classes.yaml"), classes(1));
        Files.writeString(
                parts.resolve("teams.yaml"),
                "teams: [{id: test-team, credential_sha256: \"" + digest + "\"}]");
        Files.writeString(
                parts.resolve("models.yaml"),
                "models: [{id: " + MODEL + ", version: 1, adapters: []}]");
        StringBuilder endpoints = new StringBuilder("endpoints:\n");
        for (int i = 0; i < mEngines.size(); i++) {
            endpoints.append(
                    ("- {id: engine-%d, data_centre: dc-1, address: \"127.0.0.1:%d\", models: [%s],"
                                    + " memory_tokens: 400000, checks_fencing: true}%n")
                            .formatted(i, mEngines.get(i).port(), MODEL));
        }
        Files.writeString(parts.resolve("endpoints.yaml"), endpoints.toString());
        return parts;
    }

    private Path instances() throws IOException {
        StringBuilder text = new StringBuilder("version: 1\ninstances:\n");
        for (EntryProcess e : mEntries) {
            text.append(
                    ("- {id: %s, dataCentre: dc-1, host: 127.0.0.1, port: %d,"
                                    + " kind: entry, state: live}%n")
                            .formatted(e.id(), e.peerPort()));
        }
        return Files.writeString(mFolder.resolve("instances.yaml"), text);
    }

    /** Returns part {@code classes} with one class whose target is the given time in seconds. */
    static String classes(int targetSeconds) {
        return "classes: [{id: short, time_to_first_token: " + targetSeconds + "s, share: 1.0}]";
    }

    /** Starts a daemon. */
    EntryProcess start(int index) throws IOException {
        return start(index, "");
    }

    /** Starts a daemon with the given mechanisms disabled, separated by commas. */
    EntryProcess start(int index, String disabled) throws IOException {
        return mEntries.get(index).start(mConfig.port(), mInstances.port(), disabled);
    }

    /** Starts a daemon that can't connect to the configuration service. */
    EntryProcess startWithoutConfigService(int index) throws IOException {
        return mEntries.get(index).start(CLOSED_PORT, mInstances.port(), "");
    }

    EntryProcess entry(int index) {
        return mEntries.get(index);
    }

    StandInEngine engine(int index) {
        return mEngines.get(index);
    }

    /** Publishes a part as the next version. */
    void publish(String part, String text) throws IOException, InterruptedException {
        LoopbackHttp.send("PUT", mConfig.controlPort(), "/parts/" + part, text);
    }

    /** Sets the faults of the configuration service, given as JSON. */
    void injectConfigFaults(String faults) throws IOException, InterruptedException {
        LoopbackHttp.send("POST", mConfig.controlPort(), "/faults", faults);
    }

    /** Returns the call counts of the configuration service. */
    String configCalls() throws IOException, InterruptedException {
        return LoopbackHttp.send("GET", mConfig.controlPort(), "/calls", "").body();
    }

    /** Returns the number of sessions on an engine. */
    int sessions(int engine) throws IOException, InterruptedException {
        String state =
                LoopbackHttp.send("GET", mEngines.get(engine).port(), "/v1/state", "").body();
        return Mappers.JSON.readTree(state).path("sessions").size();
    }

    /** Sends a completion call to a daemon. */
    StreamedAnswer sendCompletion(int entry, int tokens, Duration timeout)
            throws IOException, InterruptedException {
        return StreamedAnswer.open(
                "127.0.0.1", mEntries.get(entry).callerPort(), "good day", tokens, timeout);
    }

    @Override
    public void close() {
        for (EntryProcess e : mEntries) {
            e.close();
        }
        mVertx.closeAndAwait();
    }
}
