package io.bilberrygrade.daemon;

import io.bilberrygrade.daemon.command.ExitCodes;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.daemon.settings.LogLevel;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.forward.Clocks;
import io.bilberrygrade.serving.forward.ForwardDaemon;
import io.bilberrygrade.serving.forward.ForwardSettings;
import io.bilberrygrade.serving.forward.PlatformBindings;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/** Runs a forwarding daemon with the adapter of a platform until the process is terminated. */
public final class ForwardProcess {
    private static final String DISABLE_FILE_CACHING = "vertx.disableFileCaching";
    private static final String DISABLE_DNS_RESOLVER = "vertx.disableDnsResolver";

    private final SettingsSource mSettings;
    private final Function<ForwardSettings, PlatformBindings> mAdapter;

    /** Creates the process. */
    public ForwardProcess(
            SettingsSource settings, Function<ForwardSettings, PlatformBindings> adapter) {
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
        LogSetup.LogOutput log = LogSetup.toStandardOutput(LogLevel.INFO);
        try {
            runUntilFailed(settings, log);
        } catch (RuntimeException | Error e) {
            recordFailure(log.events(), e);
        } finally {
            log.close().run();
        }
        return ExitCodes.FAILED;
    }

    /** Runs the daemon; returns only if its start fails, once that is logged. */
    private void runUntilFailed(ForwardSettings settings, LogSetup.LogOutput log) {
        Vertx vertx = vertx();
        ForwardDaemon daemon = daemon(settings, mAdapter.apply(settings), log);
        EventLog events = daemon.events();
        SettingsWatcher watcher = new SettingsWatcher(mSettings, settings, daemon::reload, events);
        HangupSignal.handle(watcher::reloadIfChanged);
        CountDownLatch failed = new CountDownLatch(1);
        // Before the deployment, which lasts as long as ports are held by others.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> drain(failed, daemon, vertx, log), "drain"));
        vertx.deployVerticle(daemon)
                .onSuccess(id -> watcher.start())
                .onFailure(
                        e -> {
                            recordFailure(events, e);
                            failed.countDown();
                        });
        await(failed);
    }

    private static void recordFailure(EventLog events, Throwable e) {
        events.record(new LifecycleEvent.UnexpectedError("start", e.toString()));
    }

    /** Creates a daemon without starting it. */
    public static ForwardDaemon daemon(
            ForwardSettings settings, PlatformBindings platform, LogSetup.LogOutput log) {
        Clocks clocks = new Clocks(new MonotonicClock(), InstantSource.system());
        return new ForwardDaemon(settings, platform, clocks, log.events(), log.dropped());
    }

    /**
     * Creates the Vert.x instance of one daemon. File caching and the DNS resolver are disabled,
     * since the daemon serves no files and resolves no names.
     */
    public static Vertx vertx() {
        System.setProperty(DISABLE_FILE_CACHING, "true");
        System.setProperty(DISABLE_DNS_RESOLVER, "true");
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

    private static void drain(
            CountDownLatch failed, ForwardDaemon daemon, Vertx vertx, LogSetup.LogOutput log) {
        try {
            if (failed.getCount() > 0) {
                stop(daemon, vertx);
            }
        } finally {
            log.close().run();
        }
    }

    /**
     * Drains a daemon and closes its Vert.x instance, as the process does when it is terminated.
     */
    public static void stop(ForwardDaemon daemon, Vertx vertx) {
        daemon.drain().await().indefinitely();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static void await(CountDownLatch failed) {
        try {
            failed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Source of the settings. */
    public interface SettingsSource {
        /** Reads and validates the settings. */
        ForwardSettings read() throws InvalidSettingsException;
    }
}
