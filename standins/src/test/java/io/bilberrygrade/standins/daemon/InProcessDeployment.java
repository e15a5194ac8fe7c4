package io.bilberrygrade.standins.daemon;

import com.google.common.hash.Hashing;
import com.google.common.io.Closer;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.daemon.FreePorts;
import io.bilberrygrade.daemon.MonotonicClock;
import io.bilberrygrade.serving.entry.EntryDaemon;
import io.bilberrygrade.serving.event.JbossEventLog;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.OperatorCredential;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.standins.configservice.StandInConfigService;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.engine.StandInEngine;
import io.bilberrygrade.standins.instances.StandInInstanceList;
import io.bilberrygrade.standins.service.StandInService;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Deployment of stand-ins and entry daemons in the test's JVM, on the loopback interface. */
public final class InProcessDeployment implements AutoCloseable {
    /** Credential of the only team. */
    public static final String CREDENTIAL = "test-secret";

    /** Credential of operators. */
    public static final String OPERATOR_CREDENTIAL = "test-operator";

    /** Name of the only model. */
    public static final String MODEL = "test-model";

    /** Default maximum size of a request body. */
    public static final long MAX_BODY_BYTES = 1 << 20;

    private static final String HOST = "127.0.0.1";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private final Vertx mVertx = Vertx.vertx();
    private final Closer mCloser = Closer.create();
    private final List<StandInEngine> mEngines = new ArrayList<>();
    private final List<EntryDaemon> mDaemons = new ArrayList<>();
    private final StandInService mService;
    private final PolicySettings mPolicy;
    private final long mMaxBodyBytes;

    private InProcessDeployment(
            Path folder,
            int engines,
            int daemons,
            PolicySettings policy,
            Supplier<EngineSettings> engine,
            long maxBodyBytes)
            throws IOException {
        mPolicy = policy;
        mMaxBodyBytes = maxBodyBytes;
        mCloser.register(() -> mVertx.closeAndAwait());
        for (int i = 0; i < engines; i++) {
            mEngines.add(StandInEngine.start(mVertx, engine.get()).await().atMost(START_TIMEOUT));
        }
        mService =
                StandInService.start(mVertx, io.bilberrygrade.standins.control.Address.free())
                        .await()
                        .atMost(START_TIMEOUT);
        startDaemons(folder, daemons);
    }

    /** Starts a deployment whose configuration is written to the given folder. */
    public static InProcessDeployment start(Path folder, int engines, int daemons)
            throws IOException {
        return start(folder, engines, daemons, PolicySettings.FULL);
    }

    /** Starts a deployment whose daemons run with the given policy. */
    public static InProcessDeployment start(
            Path folder, int engines, int daemons, PolicySettings policy) throws IOException {
        return new InProcessDeployment(
                folder,
                engines,
                daemons,
                policy,
                () -> EngineSettings.defaults(MODEL),
                MAX_BODY_BYTES);
    }

    /** Starts a deployment with the given engine settings and maximum size of request bodies. */
    public static InProcessDeployment start(
            Path folder,
            int engines,
            int daemons,
            PolicySettings policy,
            Supplier<EngineSettings> engine,
            long maxBodyBytes)
            throws IOException {
        return new InProcessDeployment(folder, engines, daemons, policy, engine, maxBodyBytes);
    }

    private void startDaemons(Path folder, int count) throws IOException {
        List<Integer> peerPorts = freePorts(count);
        Address config = startConfig(Files.createDirectories(folder.resolve("configuration")));
        Address instances = startInstances(folder.resolve("instances.yaml"), peerPorts);
        for (int i = 0; i < count; i++) {
            EntryDaemon daemon = daemon(i, peerPorts.get(i), config, instances);
            mVertx.getDelegate()
                    .deployVerticle(daemon)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            mDaemons.add(daemon);
        }
    }

    private EntryDaemon daemon(int index, int peerPort, Address config, Address instances) {
        EntrySettings settings =
                new EntrySettings(
                        new InstanceId("entry-" + index),
                        new DataCentreId("dc-1"),
                        HOST,
                        0,
                        peerPort,
                        config,
                        instances,
                        PeerKey.of("key".getBytes(StandardCharsets.UTF_8)),
                        mMaxBodyBytes,
                        Duration.ofMinutes(1),
                        Duration.ofSeconds(10),
                        mPolicy,
                        Optional.of(OperatorCredential.of(OPERATOR_CREDENTIAL)));
        return new EntryDaemon(
                settings, new Incarnation(1), new MonotonicClock(), new JbossEventLog());
    }

    private Address startConfig(Path folder) throws IOException {
        String digest = Hashing.sha256().hashString(CREDENTIAL, StandardCharsets.UTF_8).toString();
        write(folder, "classes", "classes: [{id: short, time_to_first_token: 1s, share: 1.0}]");
        write(folder, "teams", "teams: [{id: test-team, credential_sha256: \"" + digest + "\"}]");
        write(folder, "models", "models: [{id: " + MODEL + ", version: 1, adapters: []}]");
        StringBuilder endpoints = new StringBuilder("endpoints:\n");
        for (int i = 0; i < mEngines.size(); i++) {
            endpoints.append(
                    String.format(
                            "- {id: engine-%d, data_centre: dc-1, address: \"%s:%d\","
                                    + " models: [%s], memory_tokens: 400000}%n",
                            i, HOST, mEngines.get(i).port(), MODEL));
        }
        endpoints.append(
                String.format(
                        "- {id: account-1, data_centre: dc-1, address: \"%s:%d\", service:"
                                + " account}%n",
                        HOST, mService.port()));
        write(folder, "endpoints", endpoints.toString());
        StandInConfigService service =
                StandInConfigService.start(
                                mVertx, io.bilberrygrade.standins.control.Address.free(), folder)
                        .await()
                        .atMost(START_TIMEOUT);
        return new Address(HOST, service.port());
    }

    private Address startInstances(Path file, List<Integer> peerPorts) throws IOException {
        StringBuilder text = new StringBuilder("version: 1\ninstances:\n");
        for (int i = 0; i < peerPorts.size(); i++) {
            text.append(
                    String.format(
                            "- {id: entry-%d, dataCentre: dc-1, host: %s, port: %d, kind: entry,"
                                    + " state: live}%n",
                            i, HOST, peerPorts.get(i)));
        }
        Files.writeString(file, text);
        StandInInstanceList instances =
                StandInInstanceList.start(
                                mVertx,
                                io.bilberrygrade.standins.control.Address.free(),
                                file,
                                Duration.ZERO)
                        .await()
                        .atMost(START_TIMEOUT);
        return new Address(HOST, instances.port());
    }

    private static void write(Path folder, String part, String text) throws IOException {
        Files.writeString(folder.resolve(part + ".yaml"), text);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(FreePorts.next());
        }
        return ports;
    }

    /** Returns the Vert.x instance of all daemons and stand-ins. */
    public Vertx vertx() {
        return mVertx;
    }

    /** Returns the address at which an entry daemon receives callers' requests. */
    public Address entry(int index) {
        return new Address(HOST, mDaemons.get(index).callerPort());
    }

    /** Returns an entry daemon. */
    public EntryDaemon daemon(int index) {
        return mDaemons.get(index);
    }

    /** Returns the number of model engines. */
    public int engines() {
        return mEngines.size();
    }

    /** Returns a model engine. */
    public StandInEngine engine(int index) {
        return mEngines.get(index);
    }

    /** Returns the plain service. */
    public StandInService service() {
        return mService;
    }

    @Override
    public void close() throws IOException {
        mCloser.close();
    }
}
