package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.LengthBand;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.settings.Units;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Runs one cell against a running deployment and writes its report. */
public final class CellCommand {
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final double WARM_UP_LOAD = 0.3;
    private static final long WARM_UP_SEED = 97;

    private CellCommand() {}

    /** Adds the command's arguments. */
    public static void addArguments(Subparser parser) {
        parser.addArgument("--policy").required(true);
        parser.addArgument("--fault").setDefault("none");
        parser.addArgument("--without-long").action(Arguments.storeTrue());
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--load").type(Double.class).required(true);
        parser.addArgument("--seconds").type(Integer.class).setDefault(30);
        parser.addArgument("--capacity").type(Double.class).required(true);
        parser.addArgument("--entries").nargs("+").required(true);
        parser.addArgument("--model").required(true);
        parser.addArgument("--classes").required(true).help("published classes.yaml");
        parser.addArgument("--started").required(true).help("file written when measuring begins");
        parser.addArgument("--output").required(true);
    }

    /** Runs the cell. */
    public static void run(Namespace arguments) throws IOException {
        CellSettings settings = settings(arguments);
        ImmutableList<Arrival> arrivals =
                filtered(settings, Workload.arrivals(settings.workload()));
        try (CellRun run = new CellRun(settings)) {
            run.run(warmUp(settings));
            Files.writeString(settings.started(), "started\n");
            ImmutableList<Sample> samples = run.run(arrivals);
            CellReport report = new CellStatistics(settings, samples).report();
            Mappers.JSON.writeValue(settings.output().toFile(), report);
        }
    }

    private static ImmutableList<Arrival> filtered(
            CellSettings settings, ImmutableList<Arrival> arrivals) {
        return arrivals.stream()
                .filter(a -> settings.withLong() || a.tokens() <= Workload.LONG_TOKENS)
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<Arrival> warmUp(CellSettings settings) {
        double capacity = settings.workload().capacity();
        return Workload.arrivals(
                        new WorkloadSettings(WARM_UP_SEED, WARM_UP_LOAD, WARM_UP, capacity))
                .stream()
                .filter(a -> a.tokens() <= LengthBand.UP_TO_32K.maxTokens())
                .collect(ImmutableList.toImmutableList());
    }

    private static CellSettings settings(Namespace arguments) throws IOException {
        List<String> entries = arguments.getList("entries");
        return new CellSettings(
                arguments.getString("policy"),
                arguments.getString("fault"),
                !arguments.getBoolean("without_long"),
                new WorkloadSettings(
                        arguments.getLong("seed"),
                        arguments.getDouble("load"),
                        Duration.ofSeconds(arguments.getInt("seconds")),
                        arguments.getDouble("capacity")),
                entries.stream().map(Address::parse).collect(ImmutableList.toImmutableList()),
                arguments.getString("model"),
                targets(Path.of(arguments.getString("classes"))),
                Path.of(arguments.getString("started")),
                Path.of(arguments.getString("output")));
    }

    private static ImmutableMap<WorkClassId, Duration> targets(Path file) throws IOException {
        ImmutableMap.Builder<WorkClassId, Duration> targets = ImmutableMap.builder();
        Mappers.YAML
                .readTree(file.toFile())
                .get("classes")
                .forEach(
                        c ->
                                targets.put(
                                        new WorkClassId(c.get("id").asText()),
                                        Units.duration(c.get("time_to_first_token").asText())));
        return targets.buildOrThrow();
    }
}
