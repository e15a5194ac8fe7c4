package io.bilberrygrade.standins.failure;

import io.bilberrygrade.daemon.FreePorts;
import io.bilberrygrade.standins.Await;
import io.bilberrygrade.standins.LoopbackHttp;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Entry daemon in a separate process. */
final class EntryProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    private final Path mFolder;
    private final String mId;
    private final int mCallerPort;
    private final int mPeerPort;
    private Process mProcess;

    private EntryProcess(Path folder, String id) throws IOException {
        mFolder = folder;
        mId = id;
        mCallerPort = FreePorts.next();
        mPeerPort = FreePorts.next();
    }

    /** Allocates ports for a daemon that is started later. */
    static EntryProcess create(Path folder, String id) throws IOException {
        return new EntryProcess(folder, id);
    }

    /** Writes the settings and starts the process. */
    EntryProcess start(int configPort, int instancesPort, String disabled) throws IOException {
        Path key = folder().resolve("peer.key");
        Files.writeString(key, "a key for tests only");
        Path settings = folder().resolve(mId + ".yaml");
        Files.writeString(
                settings,
                """
                instance: {id: %s, data_centre: dc-1, host: 127.0.0.1}
                callers: {port: %d, drain_timeout: 1min}
                peers: {port: %d, key_file: peer.key}
                platform: {configuration: "127.0.0.1:%d", instances: "127.0.0.1:%d"}
                policy: {disabled: [%s]}
                """
                        .formatted(
                                mId, mCallerPort, mPeerPort, configPort, instancesPort, disabled));
        return start(settings);
    }

    private EntryProcess start(Path settings) throws IOException {
        mProcess =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx128m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "io.bilberrygrade.daemon.Main",
                                "entry",
                                "--settings",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder().resolve(mId + ".log").toFile()))
                        .start();
        return this;
    }

    private Path folder() throws IOException {
        return Files.createDirectories(mFolder);
    }

    int callerPort() {
        return mCallerPort;
    }

    int peerPort() {
        return mPeerPort;
    }

    String id() {
        return mId;
    }

    /** Returns all lines of the log so far. */
    List<String> log() throws IOException {
        return Files.readAllLines(folder().resolve(mId + ".log"));
    }

    /** Returns whether a line of the log contains the text. */
    boolean hasLogged(String text) throws IOException {
        return log().stream().anyMatch(l -> l.contains(text));
    }

    EntryProcess awaitReady() throws Exception {
        Await.until(START_TIMEOUT, this::isReady);
        return this;
    }

    boolean isReady() throws InterruptedException {
        try {
            return LoopbackHttp.send("GET", mCallerPort, "/ready", "").statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends the signal with the given name, such as STOP. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    /** Kills the process and waits until it has exited. */
    EntryProcess kill() {
        mProcess.destroyForcibly().onExit().join();
        return this;
    }

    /** Waits for the process to exit and returns whether it did within the timeout. */
    boolean awaitExit(Duration timeout) throws InterruptedException {
        return mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (mProcess != null) {
            kill();
        }
    }
}
