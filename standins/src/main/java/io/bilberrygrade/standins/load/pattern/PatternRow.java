package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.Optional;

/**
 * Results of one policy on one pattern.
 *
 * @param worth worth earned as a fraction of the worth if all requests were answered in time
 */
record PatternRow(
        String fleet,
        String pattern,
        String policy,
        double worth,
        ImmutableList<ClassRow> classes) {
    static final String HEADING =
            String.format("%-6s %-12s %-18s %6s", "fleet", "pattern", "policy", "worth")
                    + "   worth, first event p50/p95 ms of each class";

    /** Returns the row as a line of a table. */
    String text() {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        Locale.ROOT, "%-6s %-12s %-18s %6.3f", fleet, pattern, policy, worth));
        for (ClassRow c : classes) {
            line.append(
                    String.format(
                            Locale.ROOT,
                            "   %s %.3f %s/%s",
                            c.name(),
                            c.worth(),
                            formatMillis(c.firstP50()),
                            formatMillis(c.firstP95())));
        }
        return line.toString();
    }

    private static String formatMillis(Optional<Long> millis) {
        return millis.map(m -> Long.toString(m)).orElse("never");
    }

    /**
     * Results of one class of requests. Percentiles of the time to the first event are in
     * milliseconds, and empty where they fall on a request without an event.
     *
     * @param unserved requests without a complete answer: refused, or not finished by the end
     */
    record ClassRow(
            String name,
            double worth,
            int asked,
            long inTime,
            long unserved,
            Optional<Long> firstP50,
            Optional<Long> firstP95,
            Optional<Long> firstP99) {}
}
