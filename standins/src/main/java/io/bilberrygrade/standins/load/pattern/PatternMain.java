package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.json.Mappers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Simulates every pattern with every policy on the same arrivals and prints a table. */
public final class PatternMain {
    private static final int EXIT_USAGE = 2;
    private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L, 3L, 4L, 5L, 6L);

    /** Seeds that no constant was chosen by. */
    private static final ImmutableList<Long> SERVICE_SEEDS = ImmutableList.of(101L, 102L, 103L);

    private static final ImmutableList<ServiceProfile> SERVICES =
            ImmutableList.of(
                    ServiceProfile.mixed(36, 4),
                    ServiceProfile.high(36, 4),
                    ServiceProfile.slow(36, 4),
                    ServiceProfile.jump(36, 4),
                    ServiceProfile.uniform(36, 4),
                    ServiceProfile.mixed(134, 7),
                    ServiceProfile.high(134, 7),
                    ServiceProfile.slow(134, 7),
                    ServiceProfile.jump(134, 7),
                    ServiceProfile.uniform(134, 7));
    private static final ImmutableList<FleetProfile> FLEETS =
            ImmutableList.of(
                    FleetProfile.small(),
                    FleetProfile.grown(),
                    FleetProfile.large(),
                    FleetProfile.desk(),
                    FleetProfile.deskGrown(),
                    FleetProfile.uneven(),
                    FleetProfile.unevenFresh());
    private static final ImmutableList<LoadPattern> PATTERNS =
            ImmutableList.of(
                    LoadPattern.swings(),
                    LoadPattern.highSwings(),
                    LoadPattern.steady(),
                    LoadPattern.bursts(),
                    LoadPattern.crash(),
                    LoadPattern.limits(),
                    LoadPattern.slow(),
                    LoadPattern.mixSwings());

    private PatternMain() {}

    /** Prints the table; also writes it as JSON and as a plot if files are given. */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser =
                ArgumentParsers.newFor("bilberrygrade measure pattern")
                        .build()
                        .description(
                                "Simulates placement policies under load patterns in virtual"
                                        + " time.");
        parser.addArgument("--fleet").choices(FLEETS.stream().map(FleetProfile::name).toList());
        parser.addArgument("--pattern").choices(PATTERNS.stream().map(LoadPattern::name).toList());
        parser.addArgument("--policy")
                .choices(Arrays.stream(PatternPolicy.values()).map(PatternMain::name).toList());
        parser.addArgument("--service")
                .action(Arguments.storeTrue())
                .help("simulates plain services whose requests differ widely in cost instead");
        parser.addArgument("--plot").help("file for an SVG plot of the worth");
        parser.addArgument("--json").help("file for the rows with all percentiles");
        parser.addArgument("--late")
                .action(Arguments.storeTrue())
                .help("also print why strict requests are late, by time since the swing");
        parser.addArgument("--seeds")
                .type(Long.class)
                .nargs("+")
                .setDefault(SEEDS)
                .help("seeds of the arrivals");
        try {
            Namespace arguments = parser.parseArgs(args);
            if (arguments.getBoolean("service")) {
                simulateServices();
            } else {
                run(arguments);
            }
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }

    private static void run(Namespace arguments) throws IOException {
        List<PatternRow> rows = new ArrayList<>();
        ImmutableList<Long> seeds = ImmutableList.copyOf(arguments.<Long>getList("seeds"));
        System.out.println(PatternRow.HEADING);
        for (FleetProfile fleet : FLEETS) {
            for (LoadPattern pattern : PATTERNS) {
                for (PatternPolicy policy : PatternPolicy.values()) {
                    if (isSelected(arguments, "fleet", fleet.name())
                            && isSelected(arguments, "pattern", pattern.name())
                            && isSelected(arguments, "policy", name(policy))) {
                        PatternResult result = simulate(pattern, policy, fleet, seeds);
                        PatternRow row = result.row(fleet.name(), pattern.name(), name(policy));
                        System.out.println(row.text());
                        if (arguments.getBoolean("late")) {
                            result.lateRows(pattern).forEach(System.out::println);
                        }
                        rows.add(row);
                    }
                }
            }
        }
        Optional<String> json = Optional.ofNullable(arguments.getString("json"));
        if (json.isPresent()) {
            Files.write(Path.of(json.get()), Mappers.JSON.writeValueAsBytes(rows));
        }
        Optional<String> plot = Optional.ofNullable(arguments.getString("plot"));
        if (plot.isPresent()) {
            WorthPlot.write(rows, Path.of(plot.get()));
        }
    }

    /** Prints how much later than with a known cost plain requests are answered. */
    private static void simulateServices() {
        System.out.println(ServiceResult.HEADING);
        for (ServiceProfile profile : SERVICES) {
            ServiceResult known =
                    ServiceResult.simulate(ServicePolicy.KNOWN_COST, profile, SERVICE_SEEDS);
            for (ServicePolicy policy : ServicePolicy.values()) {
                ServiceResult result = ServiceResult.simulate(policy, profile, SERVICE_SEEDS);
                System.out.println(result.text(profile, policy, known));
            }
        }
    }

    private static boolean isSelected(Namespace arguments, String what, String name) {
        String chosen = arguments.getString(what);
        return chosen == null || chosen.equals(name);
    }

    /** Simulates a pattern once per seed and collects the requests of all runs. */
    static PatternResult simulate(
            LoadPattern pattern,
            PatternPolicy policy,
            FleetProfile fleet,
            ImmutableList<Long> seeds) {
        PatternResult result = new PatternResult();
        seeds.forEach(s -> result.add(new PatternRun(policy, fleet, s).simulate(pattern)));
        return result;
    }

    private static String name(PatternPolicy policy) {
        return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
