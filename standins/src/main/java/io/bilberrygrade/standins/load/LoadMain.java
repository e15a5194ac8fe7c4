package io.bilberrygrade.standins.load;

import io.bilberrygrade.serving.json.Mappers;
import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Entry point of the callers: the demo. */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;

    private LoadMain() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser = ArgumentParsers.newFor("load").build();
        Subparser demo =
                parser.addSubparsers().dest("command").addParser("demo").help("run the demo");
        demo.addArgument("--file").required(true).help("the example's demo.yaml");
        demo.addArgument("--allow-unknown")
                .action(Arguments.storeTrue())
                .help("succeed though some requests had no answer");
        try {
            Namespace arguments = parser.parseArgs(args);
            Path file = Path.of(arguments.getString("file"));
            DemoDocument document = Mappers.YAML.readValue(file.toFile(), DemoDocument.class);
            boolean allowUnknown = arguments.getBoolean("allow_unknown");
            System.exit(new DemoCommand(document.settings(allowUnknown)).run());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }
}
