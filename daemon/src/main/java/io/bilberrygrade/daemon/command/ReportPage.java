package io.bilberrygrade.daemon.command;

import com.google.common.html.HtmlEscapers;
import io.bilberrygrade.core.report.ClassCounts;
import io.bilberrygrade.serving.report.ClassReport;
import io.bilberrygrade.serving.report.FleetReport;
import io.bilberrygrade.serving.report.MinuteLine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;

/** Formats a report as one HTML page with inline SVG plots. */
final class ReportPage {
    private static final int PLOT_WIDTH_PIXELS = 900;
    private static final int PLOT_HEIGHT_PIXELS = 320;
    private static final String STYLE =
            "body{font-family:sans-serif;margin:2em;max-width:70em}"
                    + "table{border-collapse:collapse}"
                    + "td,th{border:1px solid #999;padding:.3em .6em;text-align:right}"
                    + "td:first-child,th:first-child{text-align:left}";

    private ReportPage() {}

    static String of(FleetReport report) throws IOException {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>bilberrygrade report</title><style>"
                + STYLE
                + "</style></head><body>\n<h1>Classes of work: promised and kept</h1>\n<p>"
                + escape(ReportCommand.summary(report))
                + "</p>\n"
                + table(report)
                + plot(report, "Requests inside their target (%)", c -> 100 * c.insideTargetShare())
                + plot(report, "Worth answered in time, a minute", ClassCounts::worthInTime)
                + plot(report, "Requests refused, a minute", ClassCounts::refused)
                + "<h2>How each column is counted</h2>\n<dl>"
                + notes(report)
                + "</dl>\n</body></html>\n";
    }

    private static String table(FleetReport report) {
        return "<table>\n"
                + row("th", ReportCommand.HEADING)
                + report.classes().stream()
                        .map(c -> row("td", ReportCommand.row(c)))
                        .collect(Collectors.joining())
                + "</table>\n";
    }

    private static String row(String element, List<String> cells) {
        return cells.stream()
                .map(c -> "<" + element + ">" + escape(c) + "</" + element + ">")
                .collect(Collectors.joining("", "<tr>", "</tr>\n"));
    }

    private static String notes(FleetReport report) {
        return report.countedBy().entrySet().stream()
                .map(
                        e ->
                                "<dt>"
                                        + escape(e.getKey())
                                        + "</dt><dd>"
                                        + escape(e.getValue())
                                        + "</dd>\n")
                .collect(Collectors.joining());
    }

    private static String plot(
            FleetReport report, String title, ToDoubleFunction<ClassCounts> value)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(PLOT_WIDTH_PIXELS)
                        .height(PLOT_HEIGHT_PIXELS)
                        .title(title)
                        .xAxisTitle("minutes before the report")
                        .build();
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        long lastMinute = report.lines().stream().mapToLong(MinuteLine::minute).max().orElse(0);
        boolean hasSeries = false;
        for (ClassReport c : report.classes()) {
            hasSeries |= addSeries(chart, report, c, lastMinute, value);
        }
        if (!hasSeries) {
            return "<p>" + escape(title) + ": no requests in the period.</p>\n";
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        return svg.substring(svg.indexOf("<svg")) + "\n";
    }

    private static boolean addSeries(
            XYChart chart,
            FleetReport report,
            ClassReport workClass,
            long lastMinute,
            ToDoubleFunction<ClassCounts> value) {
        List<MinuteLine> lines =
                report.lines().stream()
                        .filter(l -> l.workClass().equals(workClass.workClass()))
                        .toList();
        if (lines.isEmpty()) {
            return false;
        }
        chart.addSeries(
                workClass.workClass(),
                lines.stream().mapToDouble(l -> l.minute() - lastMinute).toArray(),
                lines.stream().mapToDouble(l -> value.applyAsDouble(l.counts())).toArray());
        return true;
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
