package io.bilberrygrade.standins.load.control;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Least-squares fit through samples: {@code base + slope * size}. */
record LinearFit(double base, double slope) {
    static LinearFit leastSquares(
            List<ControlSample> samples,
            ToDoubleFunction<ControlSample> size,
            ToDoubleFunction<ControlSample> figure) {
        double meanSize = samples.stream().mapToDouble(size).average().orElse(0);
        double meanFigure = samples.stream().mapToDouble(figure).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (ControlSample s : samples) {
            double deviation = size.applyAsDouble(s) - meanSize;
            covariance += deviation * (figure.applyAsDouble(s) - meanFigure);
            variance += deviation * deviation;
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        return new LinearFit(meanFigure - slope * meanSize, slope);
    }

    double valueAt(double size) {
        return base + slope * size;
    }
}
