package io.bilberrygrade.standins.load.control;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Straight line through samples by least squares: {@code base + slope * size}. */
record Line(double base, double slope) {
    static Line through(
            List<ControlSample> samples,
            ToDoubleFunction<ControlSample> size,
            ToDoubleFunction<ControlSample> figure) {
        double meanSize = samples.stream().mapToDouble(size).average().orElse(0);
        double meanFigure = samples.stream().mapToDouble(figure).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (ControlSample s : samples) {
            double distance = size.applyAsDouble(s) - meanSize;
            covariance += distance * (figure.applyAsDouble(s) - meanFigure);
            variance += distance * distance;
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        return new Line(meanFigure - slope * meanSize, slope);
    }

    double at(double size) {
        return base + slope * size;
    }
}
