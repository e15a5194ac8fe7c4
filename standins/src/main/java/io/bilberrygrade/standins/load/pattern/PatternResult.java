package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What callers saw of the requests of some runs. */
final class PatternResult {
    private static final double P50 = 0.5;
    private static final double P95 = 0.95;
    private static final double P99 = 0.99;

    private final List<PatternRequest> mRequests = new ArrayList<>();

    void add(ImmutableList<PatternRequest> requests) {
        mRequests.addAll(requests);
    }

    /** Returns the worth earned as a part of the worth asked for. */
    double worth() {
        return worth(mRequests);
    }

    /** Returns the same for one class. */
    double worth(String ofClass) {
        return worth(of(ofClass));
    }

    private static double worth(List<PatternRequest> requests) {
        double owed = requests.stream().mapToDouble(r -> r.ofClass().worth(r.tokens(), true)).sum();
        return requests.stream().mapToDouble(PatternRequest::worth).sum() / owed;
    }

    /** Returns the 95th percentile of the time to the first event of a class. */
    double firstP95(String ofClass) {
        return percentile(of(ofClass), P95);
    }

    /** Requests without an event count as the slowest. */
    private static double percentile(List<PatternRequest> requests, double part) {
        double[] times =
                requests.stream().mapToDouble(PatternResult::firstMillis).sorted().toArray();
        return times[(int) (times.length * part)];
    }

    private static double firstMillis(PatternRequest r) {
        return r.firstMillis() < 0 ? Double.MAX_VALUE : r.firstMillis();
    }

    private List<PatternRequest> of(String ofClass) {
        return mRequests.stream().filter(r -> r.ofClass().name().equals(ofClass)).toList();
    }

    /** Returns the row of a table. */
    PatternRow row(String fleet, String pattern, String policy) {
        ImmutableList.Builder<PatternRow.ClassRow> classes = ImmutableList.builder();
        mRequests.stream()
                .map(r -> r.ofClass().name())
                .distinct()
                .sorted()
                .forEach(c -> classes.add(classRow(c)));
        return new PatternRow(fleet, pattern, policy, worth(), classes.build());
    }

    private PatternRow.ClassRow classRow(String ofClass) {
        List<PatternRequest> requests = of(ofClass);
        return new PatternRow.ClassRow(
                ofClass,
                worth(requests),
                requests.size(),
                requests.stream().filter(PatternRequest::inTime).count(),
                requests.stream().filter(r -> !r.ended()).count(),
                millis(percentile(requests, P50)),
                millis(percentile(requests, P95)),
                millis(percentile(requests, P99)));
    }

    private static Optional<Long> millis(double millis) {
        return millis == Double.MAX_VALUE ? Optional.empty() : Optional.of(Math.round(millis));
    }
}
