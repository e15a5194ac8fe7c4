package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.Optional;

/**
 * One policy on one pattern.
 *
 * @param worth earned as a part of the worth asked for
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
                            shown(c.firstP50()),
                            shown(c.firstP95())));
        }
        return line.toString();
    }

    private static String shown(Optional<Long> millis) {
        return millis.map(m -> Long.toString(m)).orElse("never");
    }

    /**
     * What callers of one class saw; times to the first event are in milliseconds and empty where
     * as many had none.
     *
     * @param unserved requests that were turned away for good or have not ended
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
