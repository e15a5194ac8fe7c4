package io.bilberrygrade.standins.load.measure;

import org.apache.commons.rng.UniformRandomProvider;

/** Bounded Pareto distribution, which models heavy-tailed prompt lengths. */
record BoundedPareto(double low, double high, double shape) {
    /** Draws a value. */
    double sample(UniformRandomProvider random) {
        double tail = 1 - Math.pow(low / high, shape);
        return low / Math.pow(1 - random.nextDouble() * tail, 1 / shape);
    }

    /** Returns the mean; the shape must not be 1. */
    double mean() {
        double ratio = low / high;
        return shape
                / (shape - 1)
                * low
                * (1 - Math.pow(ratio, shape - 1))
                / (1 - Math.pow(ratio, shape));
    }
}
