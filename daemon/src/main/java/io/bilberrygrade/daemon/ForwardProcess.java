package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.command.ExitCodes;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.daemon.settings.LogLevel;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.forward.Clocks;
import io.bilberrygrade.serving.forward.ForwardDaemon;
import io.bilberrygrade.serving.forward.ForwardOutside;
import io.bilberrygrade.serving.forward.ForwardSettings;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/** Runs a forwarding daemon with the adapter of a platform until the process is told to stop. */
public final class ForwardProcess {
    private static final String FILE_CACHE = "vertx.disableFileCaching";
    private static final String DNS_RESOLVER = "vertx.disableDnsResolver";

    private final SettingsSource mSettings;
    private final Function<ForwardSettings, ForwardOutside> mAdapter;

    /** Creates the process. */
    public ForwardProcess(
            SettingsSource settings, Function<ForwardSettings, ForwardOutside> adapter) {
        mSettings = settings;
        mAdapter = adapter;
    }

    /** Runs the daemon and returns the exit code. */
    public int run() {
        try {
            return run(mSettings.read());
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return ExitCodes.INVALID;
        }
    }

    private int run(ForwardSettings settings) {
        Vertx vertx = vertx();
        LogSetup.Output log = LogSetup.toStandardOutput(LogLevel.INFO);
        ForwardDaemon daemon = daemon(settings, mAdapter.apply(settings), log);
        EventLog events = daemon.events();
        SettingsWatch watch = new SettingsWatch(mSettings, settings, daemon::reload, events);
        HangupSignal.handle(watch::look);
        CountDownLatch failed = new CountDownLatch(1);
        Thread hook = new Thread(() -> drain(daemon, vertx, log), "drain");
        vertx.deployVerticle(daemon)
                .onSuccess(
                        id -> {
                            Runtime.getRuntime().addShutdownHook(hook);
                            watch.start();
                        })
                .onFailure(
                        e -> {
                            events.record(
                                    new LifecycleEvent.UnexpectedError("start", e.toString()));
                            failed.countDown();
                        });
        await(failed);
        return ExitCodes.FAILED;
    }

    /** Returns a daemon that is not started yet. */
    public static ForwardDaemon daemon(
            ForwardSettings settings, ForwardOutside outside, LogSetup.Output log) {
        Clocks clocks = new Clocks(new MonotonicClock(), InstantSource.system());
        return new ForwardDaemon(settings, outside, clocks, log.events(), log.dropped());
    }

    /** Returns an instance for one daemon, which serves no file and looks up no name. */
    public static Vertx vertx() {
        System.setProperty(FILE_CACHE, "true");
        System.setProperty(DNS_RESOLVER, "true");
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(
                                new FileSystemOptions()
                                        .setFileCachingEnabled(false)
                                        .setClassPathResolvingEnabled(false)));
    }

    private static void drain(ForwardDaemon daemon, Vertx vertx, LogSetup.Output log) {
        daemon.drain().await().indefinitely();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        log.close().run();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Where the settings come from. */
    public interface SettingsSource {
        /** Reads and checks the settings. */
        ForwardSettings read() throws InvalidSettingsException;
    }
}
