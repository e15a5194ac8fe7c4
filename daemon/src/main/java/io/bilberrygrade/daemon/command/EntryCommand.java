package io.bilberrygrade.daemon.command;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.daemon.LogSetup;
import io.bilberrygrade.daemon.MonotonicClock;
import io.bilberrygrade.daemon.settings.DaemonSettings;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.daemon.settings.SettingsReader;
import io.bilberrygrade.serving.entry.EntryDaemon;
import io.bilberrygrade.serving.event.EventLog;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.jboss.logging.Logger;

/** Runs an entry daemon until the process is terminated. */
public final class EntryCommand {
    private static final Logger LOGGER = Logger.getLogger(EntryCommand.class);

    private EntryCommand() {}

    static void register(Subparsers commands) {
        Subparser entry = commands.addParser("entry").help("run an entry daemon");
        entry.addArgument("--settings").required(true).metavar("FILE").help("settings file");
        entry.setDefault(Command.HANDLER, (Command) EntryCommand::run);
    }

    private static int run(Namespace arguments) {
        try {
            return run(SettingsReader.read(Path.of(arguments.getString("settings"))));
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return ExitCodes.INVALID;
        }
    }

    private static int run(DaemonSettings settings) {
        EventLog events = LogSetup.apply(settings);
        Infrastructure.setDroppedExceptionHandler(
                e -> LOGGER.debugf(e, "exception dropped after its call had ended"));
        MonotonicClock clock = new MonotonicClock();
        Incarnation incarnation = new Incarnation(clock.instant().toEpochMilli());
        Vertx vertx = Vertx.vertx();
        EntryDaemon daemon = new EntryDaemon(settings.entry(), incarnation, clock, events);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread shutdownHook = new Thread(() -> drain(daemon, vertx), "drain");
        vertx.deployVerticle(daemon)
                .onSuccess(id -> Runtime.getRuntime().addShutdownHook(shutdownHook))
                .onFailure(
                        e -> {
                            System.err.println("bilberrygrade: " + e.getMessage());
                            stopped.countDown();
                        });
        return await(stopped) ? ExitCodes.FAILED : ExitCodes.OK;
    }

    private static void drain(EntryDaemon daemon, Vertx vertx) {
        daemon.drain().await().indefinitely();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static boolean await(CountDownLatch stopped) {
        try {
            stopped.await();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
