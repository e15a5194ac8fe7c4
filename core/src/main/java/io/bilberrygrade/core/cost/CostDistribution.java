package io.bilberrygrade.core.cost;

/** Log-normal distribution of a cost: a duration, a ratio of durations or a length. */
public record CostDistribution(double logMedian, double logDeviation) {
    private static final double P90_DEVIATIONS = 1.2816;

    /** Upper bounds of the first nine deciles of a standard normal distribution. */
    private static final double[] DECILE_BOUNDS = {
        -1.2816, -0.8416, -0.5244, -0.2533, 0, 0.2533, 0.5244, 0.8416, 1.2816
    };

    /** Number of deciles. */
    public static final int DECILES = DECILE_BOUNDS.length + 1;

    /** Deviation below which values differ by less than timers resolve. */
    private static final double MIN_DEVIATION = 0.01;

    /** Returns the mean. */
    public double mean() {
        return Math.exp(logMedian + logDeviation * logDeviation / 2);
    }

    /** Returns the 90th percentile. */
    public double p90() {
        return Math.exp(logMedian + P90_DEVIATIONS * logDeviation);
    }

    /** Returns the distribution of the cost multiplied by a positive factor. */
    public CostDistribution times(double factor) {
        return new CostDistribution(logMedian + Math.log(factor), logDeviation);
    }

    /**
     * Returns the decile of this distribution, from 0 to 9, into which a value falls. All deciles
     * get equally many values if the distribution describes them.
     */
    public int decile(double value) {
        double deviations = (Math.log(value) - logMedian) / Math.max(MIN_DEVIATION, logDeviation);
        int decile = 0;
        while (decile < DECILE_BOUNDS.length && deviations > DECILE_BOUNDS[decile]) {
            decile++;
        }
        return decile;
    }
}
