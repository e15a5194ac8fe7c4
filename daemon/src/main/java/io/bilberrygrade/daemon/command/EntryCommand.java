package io.bilberrygrade.daemon.command;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.daemon.MonotonicClock;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.daemon.settings.SettingsReader;
import io.bilberrygrade.serving.entry.EntryDaemon;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.JbossEventLog;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Runs an entry daemon until it is told to stop. */
public final class EntryCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_SETTINGS = 3;

    private EntryCommand() {}

    /** Runs the daemon and returns the exit code. */
    public static int run(Path settingsFile) {
        try {
            return run(SettingsReader.read(settingsFile));
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
    }

    private static int run(EntrySettings settings) {
        EventLog events = new JbossEventLog();
        MonotonicClock clock = new MonotonicClock();
        Incarnation incarnation = new Incarnation(clock.instant().toEpochMilli());
        Vertx vertx = Vertx.vertx();
        EntryDaemon daemon = new EntryDaemon(settings, incarnation, clock, events);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(() -> drain(daemon, vertx), "drain");
        vertx.deployVerticle(daemon)
                .onSuccess(id -> Runtime.getRuntime().addShutdownHook(hook))
                .onFailure(
                        e -> {
                            System.err.println("bilberrygrade: " + e.getMessage());
                            stopped.countDown();
                        });
        return await(stopped) ? EXIT_FAILED : EXIT_OK;
    }

    private static void drain(EntryDaemon daemon, Vertx vertx) {
        daemon.drain().await().indefinitely();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static boolean await(CountDownLatch latch) {
        try {
            latch.await();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
