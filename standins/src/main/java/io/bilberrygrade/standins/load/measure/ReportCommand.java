package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.json.Mappers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints the reports of all cells as a table and writes them as one JSON file and a plot. */
public final class ReportCommand {
    private static final String SUFFIX = ".json";

    private ReportCommand() {}

    /** Adds the command's arguments. */
    public static void addArguments(Subparser parser) {
        parser.addArgument("--directory").required(true).help("directory of the cells' reports");
        parser.addArgument("--json").help("file for all reports");
        parser.addArgument("--plot").help("file for the SVG plot of time to first token by length");
    }

    /** Runs the command. */
    public static void run(Namespace arguments) throws IOException {
        ImmutableList<CellReport> cells = read(Path.of(arguments.getString("directory")));
        ReportTable.print(cells, System.out);
        Optional<String> json = Optional.ofNullable(arguments.getString("json"));
        if (json.isPresent()) {
            Mappers.JSON
                    .writerWithDefaultPrettyPrinter()
                    .writeValue(Path.of(json.get()).toFile(), cells);
        }
        Optional<String> plot = Optional.ofNullable(arguments.getString("plot"));
        if (plot.isPresent()) {
            LengthPlot.write(cells, Path.of(plot.get()));
        }
    }

    private static ImmutableList<CellReport> read(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> f.toString().endsWith(SUFFIX))
                    .sorted()
                    .map(ReportCommand::readCell)
                    .collect(ImmutableList.toImmutableList());
        }
    }

    private static CellReport readCell(Path file) {
        try {
            return Mappers.JSON.readValue(file.toFile(), CellReport.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
