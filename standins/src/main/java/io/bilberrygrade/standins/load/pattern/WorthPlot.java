package io.bilberrygrade.standins.load.pattern;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.style.Styler.LegendLayout;
import org.knowm.xchart.style.Styler.LegendPosition;

/** Plots the fraction of the worth that each policy earns on each pattern. */
final class WorthPlot {
    private static final int WIDTH_PIXELS = 1_200;
    private static final int HEIGHT_PIXELS = 500;

    private WorthPlot() {}

    /** Writes the rows as an SVG; omits policies that lack a pattern. */
    static void write(List<PatternRow> rows, Path file) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title("Worth earned as a part of the worth asked for")
                        .xAxisTitle("fleet and pattern")
                        .yAxisTitle("worth")
                        .build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(LegendLayout.Horizontal);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        List<String> labels = rows.stream().map(WorthPlot::label).distinct().toList();
        for (String policy : rows.stream().map(PatternRow::policy).distinct().toList()) {
            List<Double> worth =
                    rows.stream()
                            .filter(r -> r.policy().equals(policy))
                            .map(PatternRow::worth)
                            .toList();
            if (worth.size() == labels.size()) {
                chart.addSeries(policy, labels, worth);
            }
        }
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
    }

    private static String label(PatternRow row) {
        return row.fleet() + " " + row.pattern();
    }
}
