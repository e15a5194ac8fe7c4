package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Locale;

/** Plays every pattern with every policy on the same arrivals and prints a table. */
public final class PatternMain {
    private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L, 3L, 4L, 5L, 6L);

    private PatternMain() {}

    /** Prints the table; the arguments name the policies, all of them if there is none. */
    public static void main(String[] args) {
        System.out.println(PatternResult.HEADING);
        for (FleetSheet fleet : ImmutableList.of(FleetSheet.small(), FleetSheet.grown())) {
            for (LoadPattern pattern : patterns()) {
                for (PatternPolicy policy : policies(args)) {
                    PatternResult result = play(pattern, policy, fleet, SEEDS);
                    System.out.println(result.row(fleet.name(), pattern.name(), name(policy)));
                }
            }
        }
    }

    private static ImmutableList<LoadPattern> patterns() {
        return ImmutableList.of(
                LoadPattern.swings(),
                LoadPattern.highSwings(),
                LoadPattern.steady(),
                LoadPattern.bursts());
    }

    /** Plays a pattern with several seeds and gathers what callers saw. */
    static PatternResult play(
            LoadPattern pattern,
            PatternPolicy policy,
            FleetSheet fleet,
            ImmutableList<Long> seeds) {
        PatternResult result = new PatternResult();
        seeds.forEach(s -> result.add(new PatternRun(policy, fleet, s).play(pattern)));
        return result;
    }

    private static ImmutableList<PatternPolicy> policies(String[] args) {
        if (args.length == 0) {
            return ImmutableList.copyOf(PatternPolicy.values());
        }
        return Arrays.stream(args)
                .map(a -> PatternPolicy.valueOf(a.toUpperCase(Locale.ROOT).replace('-', '_')))
                .collect(ImmutableList.toImmutableList());
    }

    private static String name(PatternPolicy policy) {
        return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
