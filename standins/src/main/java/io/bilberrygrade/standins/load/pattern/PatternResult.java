package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Statistics over the requests of one or more runs. */
final class PatternResult {
    private static final double P50 = 0.5;
    private static final double P95 = 0.95;
    private static final double P99 = 0.99;

    private final List<PatternRequest> mRequests = new ArrayList<>();

    void add(ImmutableList<PatternRequest> requests) {
        mRequests.addAll(requests);
    }

    /**
     * Returns the worth earned as a fraction of the worth if all requests were answered in time.
     */
    double worth() {
        return worth(mRequests);
    }

    /** Returns that fraction for one class. */
    double worth(String requestClass) {
        return worth(of(requestClass));
    }

    private static double worth(List<PatternRequest> requests) {
        double offered =
                requests.stream().mapToDouble(r -> r.requestClass().worth(r.tokens(), true)).sum();
        return requests.stream().mapToDouble(PatternRequest::worth).sum() / offered;
    }

    /** Returns the number of late requests of a class. */
    long late(String requestClass) {
        return of(requestClass).stream().filter(r -> !r.isInTime()).count();
    }

    /** Returns the requests of all runs in order of their arrival. */
    ImmutableList<PatternRequest> requests() {
        return ImmutableList.copyOf(mRequests);
    }

    /** Returns the 95th percentile of a class's time to the first event in milliseconds. */
    double firstEventP95Millis(String requestClass) {
        return percentile(of(requestClass), P95);
    }

    /** Returns a percentile in milliseconds; requests without an event count as the slowest. */
    private static double percentile(List<PatternRequest> requests, double fraction) {
        double[] times =
                requests.stream().mapToDouble(PatternResult::firstEventMillis).sorted().toArray();
        return times[(int) (times.length * fraction)];
    }

    private static double firstEventMillis(PatternRequest r) {
        return r.firstEventMillis() < 0 ? Double.MAX_VALUE : r.firstEventMillis();
    }

    private List<PatternRequest> of(String requestClass) {
        return mRequests.stream()
                .filter(r -> r.requestClass().name().equals(requestClass))
                .toList();
    }

    /** Returns why strict requests are late, one line for each time since a swing to them. */
    ImmutableList<String> lateRows(LoadPattern pattern) {
        ImmutableList.Builder<String> rows = ImmutableList.builder();
        for (LateWindow window : LateWindow.values()) {
            List<PatternRequest> strict =
                    mRequests.stream()
                            .filter(r -> r.requestClass().need(r.tokens()).strict())
                            .filter(r -> window.contains(pattern, r))
                            .toList();
            if (strict.isEmpty()) {
                continue;
            }
            Map<LateCause, Long> causes = new EnumMap<>(LateCause.class);
            strict.forEach(r -> r.lateCause().ifPresent(c -> causes.merge(c, 1L, Long::sum)));
            long late = strict.stream().filter(r -> !r.isInTime()).count();
            rows.add(
                    String.format(
                            Locale.ROOT,
                            "    %s: %d of %d late %s",
                            window.title(),
                            late,
                            strict.size(),
                            causes));
        }
        return rows.build();
    }

    /** Returns the results as a row of the table. */
    PatternRow row(String fleet, String pattern, String policy) {
        ImmutableList.Builder<PatternRow.ClassRow> classes = ImmutableList.builder();
        mRequests.stream()
                .map(r -> r.requestClass().name())
                .distinct()
                .sorted()
                .forEach(c -> classes.add(classRow(c)));
        return new PatternRow(fleet, pattern, policy, worth(), classes.build());
    }

    private PatternRow.ClassRow classRow(String requestClass) {
        List<PatternRequest> requests = of(requestClass);
        return new PatternRow.ClassRow(
                requestClass,
                worth(requests),
                requests.size(),
                requests.stream().filter(PatternRequest::isInTime).count(),
                requests.stream().filter(r -> !r.hasEnded()).count(),
                millis(percentile(requests, P50)),
                millis(percentile(requests, P95)),
                millis(percentile(requests, P99)));
    }

    private static Optional<Long> millis(double millis) {
        return millis == Double.MAX_VALUE ? Optional.empty() : Optional.of(Math.round(millis));
    }
}
