package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.request.LengthBand;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** Prints the cells of a measurement as tables. */
final class ReportTable {
    private static final double PERCENT = 100;

    private ReportTable() {}

    static void print(ImmutableList<CellReport> cells, PrintStream out) {
        ImmutableList<CellReport> withLongPrompts =
                cells.stream()
                        .filter(CellReport::withLong)
                        .collect(ImmutableList.toImmutableList());
        out.printf(
                "%-22s %4s %-8s %6s %6s %7s %7s %6s %6s %8s %8s  %s%n",
                "policy",
                "load",
                "lost",
                "sent",
                "done",
                "refused",
                "unknown",
                "missed",
                "wrong",
                "worth",
                "slowdown",
                "inside target of admitted (admitted/sent)");
        withLongPrompts.forEach(c -> printSummary(c, cells, out));
        out.printf("%nTime to first token in ms, p50/p95/p99 (answered), by prompt length%n");
        withLongPrompts.forEach(c -> bands(c, out));
    }

    private static void printSummary(CellReport c, ImmutableList<CellReport> all, PrintStream out) {
        String classes =
                c.classes().stream()
                        .map(ReportTable::classColumn)
                        .collect(Collectors.joining("  "));
        out.printf(
                Locale.ROOT,
                "%-22s %4.1f %-8s %6d %6d %7d %7d %6d %6d %7.1f%% %8s  %s%n",
                c.policy(),
                c.load(),
                c.fault(),
                c.requests(),
                c.done(),
                c.refusals(),
                c.unknown(),
                c.deadlineMisses(),
                c.wrongTokens(),
                PERCENT * c.worthInTime() / c.worthOffered(),
                slowdown(c, all).map(s -> "%.2f".formatted(s)).orElse("-"),
                classes);
    }

    private static String classColumn(CellReport.ClassResult r) {
        return "%s %.1f%% (%d/%d)"
                .formatted(r.workClass(), PERCENT * r.insideShare(), r.admitted(), r.requests());
    }

    private static void bands(CellReport c, PrintStream out) {
        String columns =
                c.bands().stream()
                        .map(
                                b ->
                                        "%s %.0f/%.0f/%.0f (%d/%d)"
                                                .formatted(
                                                        b.band(),
                                                        b.p50(),
                                                        b.p95(),
                                                        b.p99(),
                                                        b.answered(),
                                                        b.requests()))
                        .collect(Collectors.joining("  "));
        out.printf(Locale.ROOT, "%-22s %4.1f %-8s %s%n", c.policy(), c.load(), c.fault(), columns);
    }

    /**
     * Returns the ratio of a cell's p95 time to first token of short prompts to that of the same
     * arrivals without the long ones; empty if that cell wasn't run.
     */
    static Optional<Double> slowdown(CellReport cell, ImmutableList<CellReport> all) {
        return all.stream()
                .filter(o -> !o.withLong())
                .filter(o -> o.policy().equals(cell.policy()) && o.fault().equals(cell.fault()))
                .filter(o -> o.load() == cell.load() && o.seed() == cell.seed())
                .findFirst()
                .map(o -> shortP95(cell) / shortP95(o));
    }

    private static double shortP95(CellReport cell) {
        return cell.band(LengthBand.UP_TO_4K).p95();
    }
}
