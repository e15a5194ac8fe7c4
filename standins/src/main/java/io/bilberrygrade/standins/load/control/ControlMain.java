package io.bilberrygrade.standins.load.control;

import io.bilberrygrade.serving.json.Mappers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the control-cost measurement: stand-ins, daemons and the table of all runs. */
public final class ControlMain {
    private static final int EXIT_USAGE = 2;

    private ControlMain() {}

    /** Runs the command given in the arguments. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ArgumentParser parser = ArgumentParsers.newFor("control").build();
        Subparsers commands = parser.addSubparsers().dest("command");
        addFleetArguments(commands.addParser("standins"));
        Subparser daemons = addFleetArguments(commands.addParser("daemons"));
        addIntArgument(daemons, "--warm-up");
        addIntArgument(daemons, "--seconds");
        commands.addParser("table").addArgument("--file").required(true);
        try {
            run(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }

    private static Subparser addFleetArguments(Subparser command) {
        command.addArgument("--host").required(true);
        command.addArgument("--folder").required(true);
        addIntArgument(command, "--daemons");
        addIntArgument(command, "--endpoints");
        addIntArgument(command, "--teams");
        return command;
    }

    private static void addIntArgument(Subparser command, String name) {
        command.addArgument(name).type(Integer.class).required(true);
    }

    private static void run(Namespace arguments) throws IOException, InterruptedException {
        switch (arguments.getString("command")) {
            case "standins" -> StandInFleet.start(layout(arguments));
            case "daemons" -> daemons(arguments);
            default -> table(Path.of(arguments.getString("file")));
        }
    }

    private static void daemons(Namespace arguments) throws IOException, InterruptedException {
        ControlSample sample =
                new DaemonFleet(layout(arguments))
                        .measure(
                                Duration.ofSeconds(arguments.getInt("warm_up")),
                                Duration.ofSeconds(arguments.getInt("seconds")));
        System.out.println(Mappers.JSON.writeValueAsString(sample));
        System.exit(0);
    }

    private static void table(Path file) throws IOException {
        List<ControlSample> samples = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            samples.add(Mappers.JSON.readValue(line, ControlSample.class));
        }
        System.out.print(ControlTable.of(samples));
    }

    private static FleetLayout layout(Namespace arguments) {
        return new FleetLayout(
                arguments.getString("host"),
                arguments.getInt("daemons"),
                arguments.getInt("endpoints"),
                arguments.getInt("teams"),
                Path.of(arguments.getString("folder")));
    }
}
