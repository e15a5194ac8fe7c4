package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Statistics over the answers of one or more runs of a plain service. */
final class ServiceResult {
    static final String HEADING =
            "fleet    service  policy       mean ms  regret  p95, p99 ms of the first route";

    private static final double P95 = 0.95;
    private static final double P99 = 0.99;
    private static final double PERCENT = 100;

    private final List<ServiceRun.ServiceAnswer> mAnswers = new ArrayList<>();

    /** Simulates a service once per seed. */
    static ServiceResult simulate(
            ServicePolicy policy, ServiceProfile profile, ImmutableList<Long> seeds) {
        ServiceResult result = new ServiceResult();
        seeds.forEach(s -> result.mAnswers.addAll(new ServiceRun(policy, profile, s).simulate()));
        return result;
    }

    double meanMillis() {
        return mAnswers.stream()
                .mapToDouble(ServiceRun.ServiceAnswer::millis)
                .average()
                .orElseThrow();
    }

    /** Returns by which part the mean is longer than that of a policy that knows the cost. */
    double regret(ServiceResult knownCost) {
        return meanMillis() / knownCost.meanMillis() - 1;
    }

    private double percentile(String route, double fraction) {
        double[] times =
                mAnswers.stream()
                        .filter(a -> a.route().equals(route))
                        .mapToDouble(ServiceRun.ServiceAnswer::millis)
                        .sorted()
                        .toArray();
        return times[(int) (times.length * fraction)];
    }

    /** Returns the results as a line of the table. */
    String text(ServiceProfile profile, ServicePolicy policy, ServiceResult knownCost) {
        String route = profile.routes().getFirst().name();
        return String.format(
                Locale.ROOT,
                "%3d x %-2d %-8s %-12s %7.1f  %5.1f%%  %.0f, %.0f",
                profile.instances(),
                profile.endpoints(),
                profile.name(),
                policy.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                meanMillis(),
                PERCENT * regret(knownCost),
                percentile(route, P95),
                percentile(route, P99));
    }
}
