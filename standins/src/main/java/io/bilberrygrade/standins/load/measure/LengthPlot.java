package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Plots the 95th percentile of the time to first token by prompt length, one bar per policy. */
final class LengthPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;
    private static final double MIN_MILLIS = 1;
    private static final ImmutableList<String> POLICIES =
            ImmutableList.of("round-robin", "least-outstanding", "full");

    private LengthPlot() {}

    static void write(ImmutableList<CellReport> cells, Path file) throws IOException {
        double load =
                cells.stream()
                        .map(CellReport::load)
                        .min(Comparator.comparingDouble(l -> Math.abs(l - 0.8)))
                        .orElse(0.0);
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title("Time to first token by prompt length, load " + load)
                        .xAxisTitle("prompt length in tokens")
                        .yAxisTitle("p95 in ms")
                        .build();
        chart.getStyler().setYAxisLogarithmic(true);
        chart.getStyler().setYAxisMin(MIN_MILLIS);
        for (String policy : POLICIES) {
            cells.stream()
                    .filter(c -> c.policy().equals(policy) && c.load() == load)
                    .filter(c -> c.withLong() && c.fault().equals("none"))
                    .findFirst()
                    .ifPresent(c -> addSeries(chart, c));
        }
        if (!chart.getSeriesMap().isEmpty()) {
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, file.toString(), VectorGraphicsFormat.SVG);
        }
    }

    private static void addSeries(CategoryChart chart, CellReport cell) {
        List<String> labels = cell.bands().stream().map(CellReport.Band::band).toList();
        List<Double> times = cell.bands().stream().map(b -> Math.max(b.p95(), MIN_MILLIS)).toList();
        chart.addSeries(cell.policy(), labels, times);
    }
}
