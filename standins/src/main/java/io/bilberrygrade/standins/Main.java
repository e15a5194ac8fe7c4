package io.bilberrygrade.standins;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.bilberrygrade.standins.configservice.StandInConfigService;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.control.StandIn;
import io.bilberrygrade.standins.engine.StandInEngine;
import io.bilberrygrade.standins.instances.StandInInstanceList;
import io.bilberrygrade.standins.service.StandInService;
import io.bilberrygrade.standins.weights.StandInWeightStore;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.slf4j.LoggerFactory;

/**
 * Runs one or several stand-ins until the process is terminated; {@code --} separates their
 * arguments. A single stand-in that dies ends the process; one of several only closes its ports.
 */
public final class Main {
    private static final String SEPARATOR = "--";
    private static final int USAGE_STATUS = 2;
    private static final int FAILED_STATUS = 1;
    private static final int DIED_STATUS = 137;

    private Main() {}

    /** Parses the command line and runs the stand-ins that it names. */
    public static void main(String[] args) {
        setLogLevel();
        ArgumentParser parser = Arguments.parser();
        List<String[]> commands = split(args);
        Vertx vertx = Vertx.vertx();
        try {
            for (String[] command : commands) {
                start(vertx, parser.parseArgs(command))
                        .subscribe()
                        .with(s -> printReady(s, commands.size() == 1), Main::exitWithError);
            }
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(USAGE_STATUS);
        }
    }

    private static void setLogLevel() {
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.WARN);
        }
    }

    private static List<String[]> split(String[] args) {
        List<String[]> commands = new ArrayList<>();
        List<String> command = new ArrayList<>();
        for (String arg : args) {
            if (arg.equals(SEPARATOR)) {
                commands.add(command.toArray(String[]::new));
                command.clear();
            } else {
                command.add(arg);
            }
        }
        commands.add(command.toArray(String[]::new));
        return commands;
    }

    private static Uni<? extends StandIn<?>> start(Vertx vertx, Namespace args) {
        Address address = Arguments.address(args);
        return switch (args.getString(Arguments.COMMAND)) {
            case "engine" -> StandInEngine.start(vertx, Arguments.engine(args));
            case "service" -> StandInService.start(vertx, address);
            case "config" ->
                    StandInConfigService.start(
                            vertx, address, Path.of(args.getString("directory")));
            case "instances" ->
                    StandInInstanceList.start(
                            vertx,
                            address,
                            Path.of(args.getString("file")),
                            Durations.parse(args.getString("lag")));
            case "weights" -> StandInWeightStore.start(vertx, address, args.getInt("rate"));
            default -> throw new IllegalStateException("unknown stand-in");
        };
    }

    private static void printReady(StandIn<?> standIn, boolean isSingle) {
        if (isSingle) {
            standIn.onDeath(() -> Runtime.getRuntime().halt(DIED_STATUS));
        }
        System.out.printf(
                "ready host=%s port=%d control=%d%n",
                standIn.host(), standIn.port(), standIn.controlPort());
    }

    private static void exitWithError(Throwable cause) {
        System.err.println("bilberrygrade-standins: " + cause);
        System.exit(FAILED_STATUS);
    }
}
