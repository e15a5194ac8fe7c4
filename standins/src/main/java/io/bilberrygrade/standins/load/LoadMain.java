package io.bilberrygrade.standins.load;

import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.load.measure.CellCommand;
import io.bilberrygrade.standins.load.measure.ReportCommand;
import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the load tool: the demo, one cell of a measurement, and the report. */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_OK = 0;

    private LoadMain() {}

    /** Runs the command given in the arguments. */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser = parser();
        try {
            System.exit(run(parser.parseArgs(args)));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("load").build();
        Subparsers commands = parser.addSubparsers().dest("command");
        Subparser demo = commands.addParser("demo").help("run the demo");
        demo.addArgument("--file").required(true).help("the example's demo.yaml");
        demo.addArgument("--allow-unknown")
                .action(Arguments.storeTrue())
                .help("succeed even if some requests had no answer");
        CellCommand.addArguments(commands.addParser("cell").help("run one cell of a measurement"));
        ReportCommand.addArguments(commands.addParser("report").help("print the cells' reports"));
        return parser;
    }

    private static int run(Namespace arguments) throws IOException {
        return switch (arguments.getString("command")) {
            case "cell" -> {
                CellCommand.run(arguments);
                yield EXIT_OK;
            }
            case "report" -> {
                ReportCommand.run(arguments);
                yield EXIT_OK;
            }
            default -> demo(arguments);
        };
    }

    private static int demo(Namespace arguments) throws IOException {
        Path file = Path.of(arguments.getString("file"));
        DemoDocument document = Mappers.YAML.readValue(file.toFile(), DemoDocument.class);
        return new DemoCommand(document.toSettings(arguments.getBoolean("allow_unknown"))).run();
    }
}
